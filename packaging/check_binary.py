"""Checks the executable file that build.py makes.

It must run without an installed Python and as a single process, pass on
signals and exit codes, and report an unusable cache folder.

Usage: python packaging/check_binary.py (run by `make check-binary`)
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
    """Return an environment with an empty PATH and a cache folder."""
    return {'PATH': '', 'BULRUSHRUDDER_CACHE': str(cache)}


def run(cache, *args):
    """Run the executable and wait for its end."""
    return subprocess.run(
        [BINARY, *args],
        env=environment(cache),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def check(name, condition, detail=''):
    """Print the result of a check; exit if its condition is false."""
    print(f'{"ok" if condition else "FAILED"}: {name} {detail}')
    if not condition:
        sys.exit(1)


def check_first_starts(cache):
    """Check that concurrent first starts unpack the program once."""
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
    """Check that the demo runs without Python on the PATH."""
    ended = run(cache, 'demo')
    check('demo', ended.returncode == 0, ended.stderr[-300:])
    check('demo output', 'completion: 200' in ended.stdout)


def check_exit_codes(cache):
    """Check that usage errors exit with the codes of the program."""
    check(
        'usage error exits with 2',
        run(cache, 'key', 'new', '--x').returncode == 2,
    )
    check(
        'invalid file exits with 3',
        run(cache, 'entry', '/none').returncode == 3,
    )


def check_cache_errors(folder):
    """Check that unusable cache folders are reported."""
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
    """Check that a failed unpacking leaves no files behind."""
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
    check('nothing is left in the cache folder', not list(cache.iterdir()))


def check_service(cache, folder):
    """Check that a service is one process and stops on SIGTERM."""
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
        check('it runs from the cache folder', program.startswith(str(cache)))
        process.send_signal(signal.SIGTERM)
        code = process.wait(TIMEOUT_S)
        check('SIGTERM exits with 0', code == 0, f'code {code}')


def write_settings(folder):
    """Write the settings of a control process and return their path."""
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
    """Return a loopback address in the form of the settings."""
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
