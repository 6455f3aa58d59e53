"""Builds dist/azureline: the program and its libraries in one file.

The file is an executable zip that the VM image's Python runs in place, without
unpacking it or starting another process.  Compiled extension modules cannot be
loaded from a zip, so the build removes them; each has a pure Python fallback.
"""

import compileall
import pathlib
import py_compile
import shutil
import subprocess
import sys
import tempfile
import zipapp

TARGET = pathlib.Path("dist/azureline")
LOCK = pathlib.Path("requirements.lock")
PACKAGE = pathlib.Path("azureline")
_EXCLUDED_PATTERNS = (
    "*.so",
    "*.pyi",
    "*.dist-info/RECORD",
    "bin",
    "__pycache__",
)
_TEST_FOLDERS = ("test", "tests")


def main() -> int:
    """Builds the file; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        _install_libraries(root)
        shutil.copytree(
            PACKAGE,
            root / PACKAGE,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        _prune(root)
        _compile(root)
        TARGET.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            root,
            TARGET,
            interpreter="/usr/bin/env python3",
            main="azureline.__main__:main",
            compressed=True,
        )
    size = TARGET.stat().st_size
    print(f"{TARGET}: {size / 1e6:.1f} MB")
    return 0


def _install_libraries(root: pathlib.Path) -> None:
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pip",
            "install",
            "--quiet",
            "--no-deps",
            "--no-compile",
            "--target",
            str(root),
            "-r",
            str(LOCK),
        ],
        check=True,
    )


def _prune(root: pathlib.Path) -> None:
    for pattern in _EXCLUDED_PATTERNS:
        for path in list(root.rglob(pattern)):
            _remove(path)
    for name in _TEST_FOLDERS:
        for path in list(root.rglob(name)):
            if path.is_dir():
                _remove(path)


def _compile(root: pathlib.Path) -> None:
    """Adds bytecode, which Pythons of the same minor version can load."""
    compileall.compile_dir(
        root,
        quiet=1,
        legacy=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def _remove(path: pathlib.Path) -> None:
    if path.is_dir():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


if __name__ == "__main__":
    sys.exit(main())
