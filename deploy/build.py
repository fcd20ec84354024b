"""Builds ``target/deps``, the libraries of the programs that ``deploy/system.toml`` runs, and
``target/byte-code``, from which ``deploy/start.py`` imports them.

Run as ``python3 -B deploy/build.py``, with the ``python3`` that runs the programs. It needs the
standard library and pip only, and writes below ``target/`` only.

A found folder counts where its stamp names these requirements and constraints, this interpreter and
processor and the content of its files, and where each program can be imported with it. Any other is
replaced: the libraries are installed into a folder beside it, which gets its stamp after the
programs were imported, and its name last. A build that is interrupted thus leaves no folder that
counts. All files and folders are synced before the folder gets its name, so that a loss of power
leaves no stamp without the files that it names. The last line of a failed build names the reason.

Byte code is only a cache: each file tells whether it is whole and of which source it is, and what
is missing makes a start slower and no build fail.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import json
import os
import platform
import runpy
import shutil
import signal
import subprocess
import sys
import sysconfig
import tempfile
import time
import warnings
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from types import CodeType

    Command = Callable[[Path], list[str]]
    """Returns the command that installs the libraries into a folder."""

ROOT = Path(__file__).resolve().parents[1]
SYSTEM_FILE = "deploy/system.toml"
REQUIREMENTS = "deploy/requirements.txt"
CONSTRAINTS = "constraints.txt"
RUN = ["python3", "-B", "deploy/start.py"]
"""First words of ``run`` of each role; the next is the module of its program."""
DEPS = "deps"
BYTE_CODE = "byte-code"
WORK_PREFIX = "deps-build-"
LOCK_NAME = "deps.lock"
STAMP_NAME = "build-stamp.json"
PYTHON_NEEDED = (3, 11)
BUILD_LIMIT_S = 840.0
"""Seconds after which a build fails; the platform ends it after 900 s, without a reason."""
IMPORT_LIMIT_S = 120.0
LOCK_POLL_S = 0.1
KEPT_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
"""Variables of the caller that the platform hands to a program."""


class BuildError(Exception):
    """The build failed; the text is the reason, in one line."""


def say(text: str) -> None:
    """Write a line to the standard error."""
    print(text, file=sys.stderr, flush=True)


def last_line(output: str) -> str:
    """Return the last line of *output* that is not blank."""
    lines = [line.strip() for line in output.splitlines() if line.strip()]
    return lines[-1] if lines else "no output"


def pip_command(root: Path) -> Command:
    """Return the installer that the deploy file uses.

    pip's cache is not used: it may hold wheels that were built on another machine.
    """

    def command(folder: Path) -> list[str]:
        words = "-m pip install -q --disable-pip-version-check --no-cache-dir --no-compile --target"
        constraints, requirements = str(root / CONSTRAINTS), str(root / REQUIREMENTS)
        return [sys.executable, *words.split(), str(folder), "-c", constraints, "-r", requirements]

    return command


def program_modules(root: Path) -> list[str]:
    """Return the module that each role of the deploy file runs."""
    import tomllib  # Python below PYTHON_NEEDED, which main() names, does not have it.

    system = tomllib.loads((root / SYSTEM_FILE).read_text(encoding="utf-8"))
    modules = []
    for role, entry in system["roles"].items():
        words = entry["run"].split()
        if words[: len(RUN)] != RUN or len(words) == len(RUN):
            needed = " ".join([*RUN, "MODULE"])
            raise BuildError(f"{SYSTEM_FILE}: 'run' of role {role} is not '{needed}'")
        modules.append(words[len(RUN)])
    return modules


def file_digest(path: Path) -> str:
    """Return the SHA-256 of a file."""
    return hashlib.sha256(path.read_bytes()).hexdigest()


def folder_digest(folder: Path) -> str:
    """Return the SHA-256 of the names and contents of all files but byte code and the stamp."""
    total = hashlib.sha256()
    for path in sorted(folder.rglob("*")):
        name = path.relative_to(folder)
        if "__pycache__" in name.parts or name == Path(STAMP_NAME) or not path.is_file():
            continue
        total.update(f"{name}\0{file_digest(path)}\n".encode())
    return total.hexdigest()


def expected_stamp(root: Path, folder: Path) -> dict[str, str]:
    """Return the stamp of a *folder* that is complete for this checkout and this machine."""
    return {
        "requirements": file_digest(root / REQUIREMENTS),
        "constraints": file_digest(root / CONSTRAINTS),
        "python": platform.python_version(),
        "abi": str(sysconfig.get_config_var("SOABI")),
        "processor": platform.machine(),
        "files": folder_digest(folder),
    }


def write_stamp(root: Path, folder: Path) -> None:
    """Mark *folder* as complete for this checkout and this machine."""
    text = json.dumps(expected_stamp(root, folder), indent=1)
    (folder / STAMP_NAME).write_text(text + "\n", encoding="utf-8")
    sync(folder / STAMP_NAME)
    sync(folder)


def stamp_fault(root: Path, folder: Path) -> str | None:
    """Return why the stamp of *folder* does not count, or None if it does."""
    if not folder.is_dir():
        return "there is no such folder"
    try:
        stamp = json.loads((folder / STAMP_NAME).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return f"no stamp can be read ({error})"
    expected = expected_stamp(root, folder)
    if not isinstance(stamp, dict):
        return "its stamp is not a table"
    different = [name for name in expected if stamp.get(name) != expected[name]]
    return f"its stamp names other {', '.join(different)}" if different else None


def programs_fault(root: Path, folder: Path, modules: list[str]) -> str | None:
    """Return why a program cannot be imported with the libraries in *folder*, or None if all can.

    Each program is imported with the words, variables and folder that the platform gives it, and
    without the interpreter's own libraries, so that these do not hide what is missing. The module
    that a role runs imports the module of the same name with ``_program`` when it runs.

    :param modules: module that each role runs.
    """
    variables = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
    variables["PYTHONPATH"] = str(folder)
    for module in modules:
        try:
            result = subprocess.run(
                [sys.executable, "-S", *RUN[1:], module, "--import"],
                cwd=root,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                encoding="utf-8",
                errors="replace",
                timeout=IMPORT_LIMIT_S,
            )
        except subprocess.TimeoutExpired:
            return f"{module} is not imported within {IMPORT_LIMIT_S:.0f} s"
        if result.returncode:
            return f"{module} cannot be imported: {last_line(result.stdout)}"
    return None


def fault_of(root: Path, folder: Path, modules: list[str]) -> str | None:
    """Return why *folder* does not count as complete, or None if it does."""
    try:
        return stamp_fault(root, folder) or programs_fault(root, folder, modules)
    except OSError as error:
        return f"it cannot be read ({error})"


def sync(path: Path) -> None:
    """Make the content of a file, or the names in a folder, last through a loss of power."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_tree(folder: Path) -> None:
    """Sync all files and folders in *folder*, and itself last."""
    for path in folder.rglob("*"):
        if not path.is_symlink() and (path.is_file() or path.is_dir()):
            sync(path)
    sync(folder)


def remove(path: Path) -> None:
    """Remove a file, a link or a folder; failures get a line and end nothing."""
    try:
        if path.is_dir() and not path.is_symlink():
            shutil.rmtree(path)
        else:
            path.unlink(missing_ok=True)
    except OSError as error:
        say(f"{path} cannot be removed: {error}")


@contextlib.contextmanager
def locked(path: Path, deadline: float) -> Iterator[int]:
    """Hold the lock of a file until the end of the block, and give its descriptor.

    A lock counts only while the file still has its name: it may be removed by a clean-up.

    :param deadline: time of the monotonic clock at which waiting for the lock fails.
    """
    waits = False
    while True:
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if time.monotonic() >= deadline:
                    raise BuildError(f"another build holds {path}") from None
                if not waits:
                    say("another build runs; waiting for its end")
                waits = True
            else:
                if path.exists() and os.path.samestat(os.fstat(descriptor), path.stat()):
                    yield descriptor
                    return
        finally:
            os.close(descriptor)
        time.sleep(LOCK_POLL_S)


def run_installer(command: list[str], work: Path, lock: int, deadline: float) -> None:
    """Run the installer, with its temporary files in *work*.

    The installer inherits the lock: one that outlives a killed build keeps the next one waiting.
    """
    variables = {name: text for name, text in os.environ.items() if name != "PYTHONPATH"}
    variables["TMPDIR"] = str(work)
    variables["PYTHONDONTWRITEBYTECODE"] = "1"  # Nobody would sync what the interpreter writes.
    try:
        result = subprocess.run(
            command,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            encoding="utf-8",
            errors="replace",
            pass_fds=(lock,),
            timeout=max(0.0, deadline - time.monotonic()),
        )
    except subprocess.TimeoutExpired:
        raise BuildError("the installer did not end within the build's limit of time") from None
    if result.stdout:
        say(result.stdout.rstrip())
    if result.returncode:
        reason = last_line(result.stdout)
        raise BuildError(f"the installer ended with {result.returncode}: {reason}")


def build(root: Path, command: Command) -> None:
    """Make ``target/deps`` below *root* anew unless it is complete and for this machine.

    :param command: the installer.
    :raises BuildError: if no folder can be made with which the programs start.
    :raises OSError: if files below ``target/`` cannot be written.
    """
    deadline = time.monotonic() + BUILD_LIMIT_S
    modules = program_modules(root)
    target = root / "target"
    target.mkdir(exist_ok=True)
    deps = target / DEPS
    with locked(target / LOCK_NAME, deadline) as lock:
        for rest in target.glob(f"{WORK_PREFIX}*"):
            remove(rest)
        found = fault_of(root, deps, modules)
        if found is not None:
            say(f"{deps} is made anew: {found}")
            make_libraries(root, deps, command, modules, lock, deadline)
        # The build that made a found folder may have ended before it was synced.
        sync_tree(deps)
        sync(target)
        sync(root)
        keep_byte_code(root, modules)


def make_libraries(
    root: Path, deps: Path, command: Command, modules: list[str], lock: int, deadline: float
) -> None:
    """Install the libraries, and put them in the place of *deps*; see :func:`build`."""
    work = Path(tempfile.mkdtemp(prefix=WORK_PREFIX, dir=deps.parent))
    try:
        made = work / DEPS
        made.mkdir()
        run_installer(command(made), work, lock, deadline)
        fault = programs_fault(root, made, modules)
        if fault is not None:
            raise BuildError(fault)
        sync_tree(made)
        write_stamp(root, made)
        if os.path.lexists(deps):
            deps.rename(work / "replaced")
        made.rename(deps)
        sync(deps.parent)
    finally:
        remove(work)


def find_sources(root: Path, modules: list[str]) -> dict[str, Path]:
    """Return the sources of the programs and the libraries, by the names of their modules."""
    deps = root / "target" / DEPS
    packages = sorted({module.partition(".")[0] for module in modules})
    sources = {}
    for base, folder in [(deps, deps), *((root, root / package) for package in packages)]:
        for path in folder.rglob("*.py"):
            parts = path.relative_to(base).with_suffix("").parts
            sources[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return sources


def compile_source(path: Path, source: bytes) -> CodeType | None:
    """Return the byte code of a source; None if it has none, as templates of libraries."""
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        try:
            code: CodeType = compile(source, str(path), "exec", dont_inherit=True, optimize=0)
        except (SyntaxError, ValueError):
            return None
    return code


def keep_byte_code(root: Path, modules: list[str]) -> None:
    """Write the byte code that is missing or damaged, or of another source; remove all other.

    Failures get a line and end nothing.
    """
    folder = root / "target" / BYTE_CODE
    # Run by its path, so that no byte code of its own is read.
    functions = runpy.run_path(str(root / RUN[-1]))
    encode, decode = functions["encode_byte_code"], functions["decode_byte_code"]
    try:
        if folder.is_symlink() or not folder.is_dir():
            remove(folder)
            folder.mkdir()
        sources = find_sources(root, modules)
        for path in folder.iterdir():
            if path.name not in sources or not path.is_file():
                remove(path)
        for name, path in sources.items():
            source, entry = path.read_bytes(), folder / name
            if entry.exists() and decode(entry.read_bytes(), source) is not None:
                continue
            code = compile_source(path, source)
            if code is not None:
                entry.write_bytes(encode(source, code))
        sync_tree(folder)
        sync(folder.parent)
    except OSError as error:
        say(f"{folder} is not complete, and starts take longer: {error}")


def stop(number: int, _frame: object) -> None:
    """End the build by a signal: the installer is killed, and its folder removed."""
    raise BuildError(f"stopped by {signal.Signals(number).name}")


def main(work: Callable[[], None]) -> int:
    """Run a build, and return the exit code; the last line of a failure names the reason."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        if signal.getsignal(number) != signal.SIG_IGN:
            signal.signal(number, stop)
    try:
        if sys.version_info < PYTHON_NEEDED:
            needed = ".".join(map(str, PYTHON_NEEDED))
            raise BuildError(f"python3 is {platform.python_version()}, below {needed}")
        work()
    except BuildError as error:
        say(f"build failed: {error}")
    except (OSError, KeyError, ValueError) as error:
        say(f"build failed: {type(error).__name__}: {error}")
    else:
        return 0
    return 1


if __name__ == "__main__":
    sys.exit(main(lambda: build(ROOT, pip_command(ROOT))))
