"""Measures processor time and memory of idle processes.

Usage: python scripts/idle_cost.py [--controls N] [--entries N]
"""

import argparse
import os
import pathlib
import sys
import tempfile
import time

import processes

WARM_UP_S = 6.0
MEASUREMENT_S = 15.0
PAGE_BYTES = 4096
MEGABYTE = 1024 * 1024


def cpu_seconds(process):
    """Return the processor time used by a process, in seconds."""
    text = pathlib.Path(f'/proc/{process.running.pid}/stat').read_text()
    fields = text.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_megabytes(process):
    """Return the resident memory of a process, in megabytes."""
    text = pathlib.Path(f'/proc/{process.running.pid}/statm').read_text()
    return int(text.split()[1]) * PAGE_BYTES / MEGABYTE


def main(arguments):
    """Measure all processes, print the results, return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(
            pathlib.Path(folder), arguments.controls, arguments.entries
        )
        try:
            fleet.start_all()
            time.sleep(WARM_UP_S)
            fleet_processes = list(fleet.by_name.values())
            before = [cpu_seconds(process) for process in fleet_processes]
            time.sleep(MEASUREMENT_S)
            for process, used_before_s in zip(
                fleet_processes, before, strict=True
            ):
                share = (cpu_seconds(process) - used_before_s) / MEASUREMENT_S
                print(
                    f'{process.name}: {share:.2%} of a core, '
                    f'{resident_megabytes(process):.0f} MB'
                )
        finally:
            fleet.stop_all()
    return 0


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--controls', type=int, default=3)
    parser.add_argument('--entries', type=int, default=1)
    sys.exit(main(parser.parse_args()))
