"""Starts a program of ``deploy/system.toml`` without byte code that nobody has checked.

Run as ``python3 -B deploy/start.py MODULE ARGUMENT..``: it calls ``run()`` of the module. With the
only argument ``--import``, it imports what the program imports at its start, and ends.

The interpreter loads a file of a ``__pycache__`` folder by its header alone. A loss of power leaves
a whole header before a cut body, and the program would end at each start. Therefore the sources of
this checkout and the libraries are imported without these folders. ``deploy/build.py`` keeps byte
code in ``target/byte-code``, one file for a module, with a hash of its content and one of the
source that it was made from. Where a hash does not fit, the source is compiled: the start only
takes longer.

This file is always compiled from its source. It imports little, since the program opens its port
after it.
"""

from __future__ import annotations

import marshal
import os
import signal
import sys
from importlib import import_module
from importlib.machinery import (
    EXTENSION_SUFFIXES,
    SOURCE_SUFFIXES,
    ExtensionFileLoader,
    FileFinder,
    SourceFileLoader,
)
from importlib.util import source_hash

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from types import CodeType

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BYTE_CODE = os.path.join(ROOT, "target", "byte-code")
HASH_BYTES = 8
"""Size of a hash of the interpreter's own, which depends on the version of its byte code."""
IGNORED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)
"""Signals that would end the process by default; :mod:`gradepoint.cmd.process` says why."""
IMPORT = "--import"


def encode_byte_code(source: bytes, code: CodeType) -> bytes:
    """Return the content of the file with the byte code of a source."""
    content = source_hash(source) + marshal.dumps(code)
    return source_hash(content) + content


def decode_byte_code(raw: bytes, source: bytes) -> CodeType | None:
    """Return the byte code in the content of a file; None if it is damaged or of another source."""
    content = memoryview(raw)[HASH_BYTES:]
    if raw[:HASH_BYTES] != source_hash(content) or content[:HASH_BYTES] != source_hash(source):
        return None
    code: CodeType = marshal.loads(content[HASH_BYTES:])
    return code


class CheckedLoader(SourceFileLoader):
    """Loads a module from its source, or from byte code that was made from that source."""

    def get_code(self, fullname: str) -> CodeType:
        """Return the code of a module."""
        path = self.get_filename(fullname)
        source = self.get_data(path)
        try:
            code = decode_byte_code(self.get_data(os.path.join(BYTE_CODE, fullname)), source)
        except OSError:
            code = None
        return self.source_to_code(source, path) if code is None else code


def own_finder(folders: list[str]) -> Callable[[str], FileFinder]:
    """Return a hook of the import system for *folders* and what is below them."""
    starts = tuple(os.path.join(folder, "") for folder in folders)

    def find(path: str) -> FileFinder:
        if not os.path.join(os.path.abspath(path), "").startswith(starts):
            raise ImportError(f"{path} is another's")
        checked = (CheckedLoader, SOURCE_SUFFIXES)
        return FileFinder(path, (ExtensionFileLoader, EXTENSION_SUFFIXES), checked)

    return find


def use_checked_byte_code() -> None:
    """Import from this checkout and the folders of ``PYTHONPATH`` by :class:`CheckedLoader`."""
    sys.dont_write_bytecode = True
    if not sys.flags.safe_path:
        del sys.path[0]  # The folder of this file, which has no modules of programs.
    sys.path.insert(0, ROOT)
    given = os.environ.get("PYTHONPATH", "").split(os.pathsep)
    folders = [ROOT, *(os.path.abspath(path) for path in given if path)]
    sys.path_hooks.insert(0, own_finder(folders))
    # Finders that exist already would go on to use the folders of the interpreter.
    sys.path_importer_cache.clear()


def main(arguments: list[str]) -> None:
    """Run a program.

    :param arguments: its module, and its own arguments.
    """
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    use_checked_byte_code()
    module, *rest = arguments
    program = import_module(module)
    if rest == [IMPORT]:
        import_module(f"{module}_program")
        return
    sys.argv = arguments
    program.run()


if __name__ == "__main__":
    main(sys.argv[1:])
