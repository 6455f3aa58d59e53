"""Tests of the single-file program: no child processes, no files written."""

import importlib.metadata
import os
import pathlib
import shutil
import subprocess

import pytest

from tests import builders_processes
from tools import binary

pytestmark = pytest.mark.processes


def _install_from_interpreter(root):
    """Copies the locked libraries from the running interpreter."""
    for line in binary.LOCK.read_text().splitlines():
        if "==" not in line:
            continue
        name, _, version = line.partition("==")
        found = importlib.metadata.distribution(name)
        assert found.version == version, (name, found.version)
        for file in found.files:
            if ".." in file.parts:
                continue  # Console scripts; the program file needs none.
            target = root / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(found.locate_file(file), target)


@pytest.fixture(scope="module", name="program")
def fixture_program(tmp_path_factory):
    target = tmp_path_factory.mktemp("dist") / "azureline"
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(binary, "TARGET", target)
        patch.setattr(binary, "_install_libraries", _install_from_interpreter)
        assert binary.main() == 0
    return target


def _children(pid):
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return "".join((t / "children").read_text() for t in tasks).split()


def _files_written(pid):
    """Returns the regular files that a process has open for writing."""
    found = []
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(entry)
            info = (entry.parent.parent / "fdinfo" / entry.name).read_text()
        except FileNotFoundError:  # The descriptor was closed meanwhile.
            continue
        flags = int(info.split("flags:")[1].split()[0], 8)
        if flags & os.O_ACCMODE and pathlib.Path(target).is_file():
            found.append(target)
    return found


def test_program_prints_its_version(program):
    shown = subprocess.run(
        [program, "version"], capture_output=True, text=True, timeout=60
    )
    assert shown.returncode == 0, shown.stderr
    assert "azureline" in shown.stdout


def test_node_from_program_serves_without_children_or_files(
    program, tmp_path, monkeypatch
):
    monkeypatch.setenv("TMPDIR", str(tmp_path / "tmp"))
    monkeypatch.setenv("HOME", str(tmp_path / "home"))
    for name in ("tmp", "home"):
        (tmp_path / name).mkdir()
    with builders_processes.running(program=str(program)) as fleet:
        pid = fleet.processes.pid("node-1")
        command = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
        assert str(program).encode() in command
        for _ in range(5):
            assert fleet.is_complete(fleet.chat("node-1", 20), 20)
            assert _children(pid) == []
        log = str(fleet.processes.folder / "node-1.log")
        assert set(_files_written(pid)) <= {log}
        written = [
            path
            for name in ("tmp", "home")
            for path in (tmp_path / name).rglob("*")
            if path.is_file()
        ]
        assert written == []
        fleet.signal("node-1", builders_processes.signal.SIGTERM)
        assert fleet.exit_code("node-1", 60) == 0
