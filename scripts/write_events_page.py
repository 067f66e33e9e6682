"""Writes docs/EVENTS.md from the catalogue of log events.

Usage: .venv/bin/python scripts/write_events_page.py
"""

import pathlib

from bulrushrudder.events import catalogue

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'EVENTS.md'
PAGE_HEADER = """\
# Log events

Each event has a number that never changes. This page is written by
`scripts/write_events_page.py`.

| number | level | name | meaning |
|---|---|---|---|
"""

if __name__ == '__main__':
    rows = [
        f'| {e.number} | {e.level.value} | {e.name} | {e.meaning} |\n'
        for e in catalogue.all_events()
    ]
    PAGE.write_text(PAGE_HEADER + ''.join(rows))
