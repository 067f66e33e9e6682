"""Lists and runs the benchmarks."""

import importlib
import pkgutil

from bulrushrudder import benchmarks
from bulrushrudder.commands import errors

HELPERS = frozenset({'report', 'slopes'})


def bench(name='', *arguments):
    """Run a benchmark, or list them without a name.

    :param name: the benchmark.
    :param arguments: words that go to the benchmark.
    """
    names = _names()
    if not name:
        print('\n'.join(names))
        return
    if name not in names:
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'bench: no benchmark {name!r}; try {", ".join(names)}',
        )
    module = importlib.import_module(f'{benchmarks.__name__}.{name}')
    module.main(list(arguments))


def _names():
    """Return the names of the modules that are benchmarks."""
    found = pkgutil.iter_modules(benchmarks.__path__)
    return [module.name for module in found if module.name not in HELPERS]
