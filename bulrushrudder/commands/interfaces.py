"""Selects the protocols for callers, backend servers and operators.

Modules are imported only where their interface is in use, since each
process pays for what it imports.
"""

import importlib


def entry(name):
    """Return the interface of an entry process.

    :param name: as the settings give it.
    """
    return _interface(name, 'entry_api')


def control(name):
    """Return the interface of a control process.

    :param name: as the settings give it.
    """
    return _interface(name, 'control_api')


def _interface(name, module_name):
    """Return an interface; None for the product's own."""
    if name == 'own':
        return None
    module = importlib.import_module(f'bulrushrudder.{name}.{module_name}')
    return module.Interface()
