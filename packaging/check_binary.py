"""Checks the one executable file: no Python needed, one process, signals
and exit codes reach the caller, clear errors for a bad cache folder.

Usage: python packaging/check_binary.py (by `make check-binary`)
"""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import yaml

BINARY = pathlib.Path(__file__).parents[1] / 'dist' / 'bulrushrudder'
TIMEOUT_S = 60
EXIT_CANNOT_START = 70


def environment(cache):
    """Return an environment without Python and without a search path."""
    return {'PATH': '', 'BULRUSHRUDDER_CACHE': str(cache)}


def run(cache, *args):
    """Run the binary to its end."""
    return subprocess.run(
        [BINARY, *args],
        env=environment(cache),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def check(name, condition, detail=''):
    """Print a result and stop at the first that does not hold."""
    print(f'{"ok" if condition else "FAILED"}: {name} {detail}')
    if not condition:
        sys.exit(1)


def check_first_starts(cache):
    """Start several at once before anything is unpacked."""
    processes = [
        subprocess.Popen(
            [BINARY, 'version'],
            env=environment(cache),
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    outputs = [p.communicate(timeout=TIMEOUT_S)[0] for p in processes]
    exit_codes = [p.returncode for p in processes]
    check('four first starts at once', exit_codes == [0] * 4, str(outputs))
    check('one unpacked program', len(list(cache.iterdir())) == 1)


def check_demo(cache):
    """Run the whole path without Python on the search path."""
    ended = run(cache, 'demo')
    check('demo', ended.returncode == 0, ended.stderr[-300:])
    check('demo output', 'completion: 200' in ended.stdout)


def check_exit_codes(cache):
    """Check that mistakes end with the program's own codes."""
    check('usage is 2', run(cache, 'key', 'new', '--x').returncode == 2)
    check('bad file is 3', run(cache, 'entry', '/none').returncode == 3)


def check_cache_errors(folder):
    """Check the errors of cache folders that cannot be used."""
    file = folder / 'file'
    file.write_text('')
    world_writable = folder / 'open'
    world_writable.mkdir()
    world_writable.chmod(0o777)
    for name, cache in (
        ('a file', file / 'cache'),
        ('a device', pathlib.Path('/dev/full')),
        ('a folder that others can write', world_writable),
        ('no such device', pathlib.Path('/proc/none')),
    ):
        ended = run(cache, 'version')
        condition = ended.returncode == EXIT_CANNOT_START
        check(f'cache is {name}', condition, ended.stderr.strip())


def check_full_disk(cache):
    """Check that too little space leaves nothing behind."""
    limited_command = 'ulimit -f 100; trap "" XFSZ; exec "$0" version'
    ended = subprocess.run(
        ['/bin/sh', '-c', limited_command, BINARY],
        env=environment(cache),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    condition = ended.returncode == EXIT_CANNOT_START
    check('cache is full', condition, ended.stderr.strip())
    check('nothing is left of it', not list(cache.iterdir()))


def check_service(cache, folder):
    """Run a service, count its processes and stop it by a signal."""
    settings = write_settings(folder)
    process = subprocess.Popen(
        [BINARY, 'control', settings],
        env=environment(cache),
        stdout=subprocess.PIPE,
    )
    with contextlib.ExitStack() as stack:
        stack.callback(process.kill)
        line = process.stdout.readline()
        check('service starts', b'"event": 2001' in line, str(line))
        time.sleep(1)
        folder = pathlib.Path(f'/proc/{process.pid}')
        children = [
            found
            for task in (folder / 'task').iterdir()
            for found in (task / 'children').read_text().split()
        ]
        check('one process', not children, f'children: {children}')
        program = os.readlink(folder / 'exe')
        check('it is the unpacked one', program.startswith(str(cache)))
        process.send_signal(signal.SIGTERM)
        code = process.wait(TIMEOUT_S)
        check('SIGTERM ends it with 0', code == 0, f'code {code}')


def write_settings(folder):
    """Write settings of a control process and return the file."""
    (folder / 'secret').write_text('0123456789abcdef')
    content = {
        'vm': 'vm1',
        'zone': 'a',
        'controls': [address(0)],
        'control': {
            'operators': address(0),
            'metrics': address(0),
            'inner': address(0),
            'data_folder': 'data',
        },
        'secrets': dict.fromkeys(
            ('cluster', 'operators', 'backends'), 'secret'
        ),
    }
    file = folder / 'settings.yaml'
    file.write_text(yaml.safe_dump(content))
    return file


def address(port):
    """Return a loopback address as it stands in settings."""
    return {'host': '127.0.0.1', 'port': port}


def main():
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        cache = folder / 'cache'
        cache.mkdir(mode=0o700)
        check_full_disk(cache)
        check_first_starts(cache)
        check_demo(cache)
        check_exit_codes(cache)
        check_cache_errors(folder)
        check_service(cache, folder)
    print(f'{BINARY.stat().st_size / 1e6:.1f} MB')


if __name__ == '__main__':
    main()
