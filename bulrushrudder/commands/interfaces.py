"""Selects the interface to callers, backend servers and operators.

The module of an interface is imported only if it is used, because each
import costs start-up time and memory.
"""

import importlib


def entry(name):
    """Return the interface of an entry process.

    :param name: the ``interface`` of the settings.
    """
    return _interface(name, 'entry_api')


def control(name):
    """Return the interface of a control process.

    :param name: the ``interface`` of the settings.
    """
    return _interface(name, 'control_api')


def _interface(name, module_name):
    """Return an interface; None for the router's own."""
    if name == 'own':
        return None
    module = importlib.import_module(f'bulrushrudder.{name}.{module_name}')
    return module.Interface()
