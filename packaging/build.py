"""Builds a single executable file with all sub-commands.

PyInstaller collects the program and the interpreter in a folder. The
folder is appended to a small launcher, which unpacks it at the first
start.

Usage: python packaging/build.py (run by `make binary`)
"""

import hashlib
import os
import pathlib
import shutil
import stat
import struct
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[1]
BUILD = ROOT / 'build'
EXECUTABLE = ROOT / 'dist' / 'bulrushrudder'
MAGIC = b'BULRUSH1'
ENTRY_HEADER = struct.Struct('=IIIIQ')
TRAILER = struct.Struct('=Q64s8s')
KIND_END, KIND_FOLDER, KIND_FILE, KIND_LINK = range(4)
EXCLUDED_MODULES = (
    'bulrushrudder.tests',
    'tkinter',
    'pynng',
    'hypothesis',
    'IPython',
)


def collect_program():
    """Run PyInstaller; return the folder with program and interpreter."""
    folder = BUILD / 'collected'
    shutil.rmtree(folder, ignore_errors=True)
    start = BUILD / 'bulrushrudder_start.py'
    start.write_text(
        'import sys\nfrom bulrushrudder import start\n'
        'start.ignore_hangup(sys.argv[1:])\n'
        'from bulrushrudder.commands import program\n'
        'sys.exit(program.main())\n'
    )
    excluded = [f'--exclude-module={name}' for name in EXCLUDED_MODULES]
    command = [
        sys.executable,
        '-m',
        'PyInstaller',
        '--onedir',
        '--noconfirm',
        '--log-level=WARN',
        '--name=bulrushrudder',
        f'--paths={ROOT}',
        f'--distpath={folder}',
        f'--workpath={BUILD / "work"}',
        f'--specpath={BUILD}',
        '--collect-submodules=bulrushrudder.benchmarks',
        '--collect-submodules=bulrushrudder.commands',
        '--collect-submodules=bulrushrudder.platform',
        *excluded,
        str(start),
    ]
    subprocess.run(command, check=True, cwd=ROOT)
    return folder / 'bulrushrudder'


def pack_payload(folder):
    """Return a folder's files as bytes for the launcher, sorted by path."""
    parts = []
    for path in sorted(folder.rglob('*')):
        name = str(path.relative_to(folder)).encode()
        kind, mode, data = entry(path)
        head = ENTRY_HEADER.pack(kind, mode, len(name), 0, len(data))
        parts += [head, name, data]
    parts.append(ENTRY_HEADER.pack(KIND_END, 0, 0, 0, 0))
    return b''.join(parts)


def entry(path):
    """Return the kind, mode and content of one path."""
    if path.is_symlink():
        return KIND_LINK, 0, os.readlink(path).encode()
    if path.is_dir():
        return KIND_FOLDER, 0, b''
    mode = 0o755 if path.stat().st_mode & stat.S_IXUSR else 0o644
    return KIND_FILE, mode, path.read_bytes()


def compile_launcher():
    """Compile the launcher and return its bytes."""
    target = BUILD / 'launcher'
    source = ROOT / 'packaging' / 'launcher.c'
    command = ['gcc', '-O2', '-Wall', '-Wextra', '-Werror']
    subprocess.run([*command, '-o', target, source], check=True)
    return target.read_bytes()


def main():
    BUILD.mkdir(exist_ok=True)
    content = pack_payload(collect_program())
    digest = hashlib.sha256(content).hexdigest().encode()
    trailer = TRAILER.pack(len(content), digest, MAGIC)
    EXECUTABLE.parent.mkdir(exist_ok=True)
    EXECUTABLE.write_bytes(compile_launcher() + content + trailer)
    EXECUTABLE.chmod(0o755)
    print(f'{EXECUTABLE.relative_to(ROOT)}: {EXECUTABLE.stat().st_size} bytes')


if __name__ == '__main__':
    main()
