"""Makes ``.venv``, in which tests and benches run, unless it is complete and for this machine.

Run as ``python3 .ci/environment.py FOLDER``, with the interpreter that the environment is to have.
A found environment counts where its stamp, written last, names this checkout, its requirements,
this interpreter and processor, and where its distributions have all files and its modules can be
imported. Any other is removed and made anew: an environment cannot be moved into place, since its
files contain its path. Distributions that were added by hand do no harm.
"""

from __future__ import annotations

import json
import platform
import subprocess
import sys
import sysconfig
import tempfile
import time
from pathlib import Path
from types import ModuleType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    Commands = Callable[[Path], list[list[str]]]
    """Returns the commands that make an environment in a folder."""

ROOT = Path(__file__).resolve().parents[1]


def load_build() -> ModuleType:
    """Return the script beside the deploy file as a module, without byte code, which may be cut."""
    path = ROOT / "deploy" / "build.py"
    module = ModuleType("build")
    module.__file__ = str(path)
    exec(compile(path.read_bytes(), path, "exec", dont_inherit=True), vars(module))
    return module


build = load_build()
INPUTS = ("pyproject.toml", "constraints.txt")
STAMP_NAME = ".installed"
WORK_PREFIX = "environment-build-"
LOCK_NAME = "environment.lock"
LIMIT_S = 3600.0
"""Seconds after which making an environment fails; it downloads some hundred megabytes."""
MODULES = ("msgspec", "mypy.api", "numpy", "pydantic_core", "pytest", "rpds", "ruff", "zmq")
"""Modules that are imported to check an environment: the tools, and those with compiled parts."""
INSPECTION = """
import importlib, importlib.metadata, json, pathlib, platform, sys, sysconfig
distributions = {}
for distribution in importlib.metadata.distributions():
    name = distribution.metadata["Name"]
    distributions[name] = distribution.version
    for file in distribution.files or []:
        path = pathlib.Path(file.locate())
        if file.size is not None and (not path.is_file() or path.stat().st_size != file.size):
            sys.exit(f"{name}: {file} is missing or has another size")
for module in sys.argv[1:]:
    importlib.import_module(module)
interpreter = {
    "python": platform.python_version(),
    "abi": str(sysconfig.get_config_var("SOABI")),
    "processor": platform.machine(),
}
print(json.dumps({"interpreter": interpreter, "distributions": distributions}))
"""
"""Program that an environment runs to describe itself; it fails where a file is missing."""


def pip_commands(root: Path) -> Commands:
    """Return the commands that make the environment of a checkout."""

    def commands(folder: Path) -> list[list[str]]:
        pip = [str(folder / "bin" / "python"), "-m", "pip", "install", "--quiet"]
        words = ["--disable-pip-version-check", "-c", str(root / "constraints.txt")]
        return [
            [sys.executable, "-m", "venv", str(folder)],
            [*pip, *words, "-e", f"{root}[dev]"],
        ]

    return commands


def describe(folder: Path, modules: tuple[str, ...]) -> dict[str, dict[str, str]]:
    """Return the interpreter and the distributions of an environment.

    :raises build.BuildError: if its interpreter does not run, or a file or a module is missing.
    """
    python = folder / "bin" / "python"
    try:
        result = subprocess.run(
            [str(python), "-I", "-B", "-c", INSPECTION, *modules],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            encoding="utf-8",
            errors="replace",
            timeout=build.IMPORT_LIMIT_S,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise build.BuildError(f"its interpreter does not run ({error})") from None
    if result.returncode:
        raise build.BuildError(build.last_line(result.stderr))
    found: dict[str, dict[str, str]] = json.loads(build.last_line(result.stdout))
    return found


def expected_stamp(root: Path, folder: Path) -> dict[str, str]:
    """Return what the stamp names beside the distributions."""
    return {
        "folder": str(folder),
        **{name: build.file_digest(root / name) for name in INPUTS},
        "python": platform.python_version(),
        "abi": str(sysconfig.get_config_var("SOABI")),
        "processor": platform.machine(),
    }


def fault_of(root: Path, folder: Path, modules: tuple[str, ...]) -> str | None:
    """Return why an environment does not count as complete, or None if it does."""
    try:
        stamp = json.loads((folder / STAMP_NAME).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return f"no stamp can be read ({error})"
    expected = expected_stamp(root, folder)
    if not isinstance(stamp, dict) or not isinstance(stamp.get("distributions"), dict):
        return "its stamp is of another form"
    different = [name for name in expected if stamp.get(name) != expected[name]]
    if different:
        return f"its stamp names other {', '.join(different)}"
    try:
        found = describe(folder, modules)
    except build.BuildError as error:
        return str(error)
    if any(expected[name] != text for name, text in found["interpreter"].items()):
        return "it has another interpreter"
    missing = stamp["distributions"].items() - found["distributions"].items()
    return f"{min(missing)[0]} is missing or of another version" if missing else None


def make(root: Path, folder: Path, commands: Commands, modules: tuple[str, ...]) -> None:
    """Make the environment in *folder* anew unless it is complete and for this machine.

    :raises build.BuildError: if no complete environment can be made.
    """
    deadline = time.monotonic() + LIMIT_S
    target = root / "target"
    target.mkdir(exist_ok=True)
    with build.locked(target / LOCK_NAME, deadline) as lock:
        for rest in target.glob(f"{WORK_PREFIX}*"):
            build.remove(rest)
        fault = fault_of(root, folder, modules)
        if fault is None:
            return
        build.say(f"{folder} is made anew: {fault}")
        # A removal that is interrupted must not leave the stamp.
        if folder.is_dir() and not folder.is_symlink():
            (folder / STAMP_NAME).unlink(missing_ok=True)
        build.remove(folder)
        work = Path(tempfile.mkdtemp(prefix=WORK_PREFIX, dir=target))
        try:
            for command in commands(folder):
                build.run_installer(command, work, lock, deadline)
            distributions = describe(folder, modules)["distributions"]
            stamp = {**expected_stamp(root, folder), "distributions": distributions}
            text = json.dumps(stamp, indent=1) + "\n"
            (work / STAMP_NAME).write_text(text, encoding="utf-8")
            for made in (folder, work):
                build.sync_tree(made)
            build.sync(folder.parent)
            (work / STAMP_NAME).rename(folder / STAMP_NAME)
            build.sync(folder)
        finally:
            build.remove(work)


if __name__ == "__main__":
    place = ROOT / sys.argv[1]
    sys.exit(build.main(lambda: make(ROOT, place, pip_commands(ROOT), MODULES)))
