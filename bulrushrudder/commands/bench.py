"""The bench command: list and run benchmarks."""

import importlib
import types

from bulrushrudder.commands import errors

MODULE_BY_NAME = types.MappingProxyType(
    {
        'capacity': 'bulrushrudder.benchmarks.capacity',
        'control': 'bulrushrudder.benchmarks.control',
        'decisions': 'bulrushrudder.benchmarks.decisions',
        'limits': 'bulrushrudder.benchmarks.limits',
        'overhead': 'bulrushrudder.benchmarks.overhead',
        'placement': 'bulrushrudder.benchmarks.placement.__main__',
        'requests': 'bulrushrudder.benchmarks.requests',
        'transport': 'bulrushrudder.benchmarks.transport',
    }
)


def bench(name='', *arguments):
    """Run a benchmark; without a name, list the benchmarks.

    :param name: the name of the benchmark.
    :param arguments: passed to the benchmark.
    """
    if not name:
        print('\n'.join(MODULE_BY_NAME))
        return
    if name not in MODULE_BY_NAME:
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'bench: unknown benchmark {name!r}, expected one of: '
            f'{", ".join(MODULE_BY_NAME)}',
        )
    module = importlib.import_module(MODULE_BY_NAME[name])
    module.main(list(arguments))
