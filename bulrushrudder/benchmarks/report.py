"""Prints measurements as a table or as JSON."""

import argparse
import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A column of a table.

    :param unit: the unit of its values, empty without one.
    """

    name: str
    unit: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Rows of measurements, with cells in the order of the columns."""

    title: str
    columns: tuple[Column, ...]
    rows: tuple[tuple[object, ...], ...]


def parse_arguments(description, arguments=None):
    """Parse the flags that every benchmark takes.

    :param description: text of the help.
    :param arguments: command-line arguments without the program name, by
        default those of the process.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of tables'
    )
    return parser.parse_args(arguments)


def show(tables, as_json):
    """Print tables.

    :param as_json: whether to print JSON.
    """
    if as_json:
        print(json.dumps([_to_dict(table) for table in tables], indent=1))
        return
    for table in tables:
        print(_format_table(table))


def _to_dict(table):
    names = [column.name for column in table.columns]
    return {
        'title': table.title,
        'units': [column.unit for column in table.columns],
        'rows': [dict(zip(names, row, strict=True)) for row in table.rows],
    }


def _format_table(table):
    headers = [_format_header(column) for column in table.columns]
    lines = [headers, *([_format_cell(c) for c in row] for row in table.rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    texts = [
        '  '.join(
            cell.rjust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    ]
    return '\n'.join([table.title, *texts, ''])


def _format_header(column):
    return f'{column.name} [{column.unit}]' if column.unit else column.name


def _format_cell(value):
    return f'{value:.4g}' if isinstance(value, float) else str(value)
