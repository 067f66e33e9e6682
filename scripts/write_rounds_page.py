"""Writes docs/design/rounds.md from the journal of benchmark runs.

Usage: .venv/bin/python scripts/write_rounds_page.py
"""

import dataclasses
import json
import pathlib

ROOT = pathlib.Path(__file__).parents[1]
JOURNAL = ROOT / 'journal'
PAGE = ROOT / 'docs' / 'design' / 'rounds.md'
PAGE_HEADER = """\
# Rounds on the platform

Every score that was played, from the journal, oldest first. This page is
written by `scripts/write_rounds_page.py`. `worth` is what the users'
bench makes of a day before it is set against the day's marks; `takes
most` is the largest of the day's prices. A score with days left out or
sources changed while it ran is marked as partial.
"""
COLUMNS = '| day | worth | served | refused | failed | rules | takes most |'
TABLE_RULE = '|---|---|---|---|---|---|---|'
STANDARD_DAY_PREFIXES = ('quiet-', 'trouble-', 'scale-')


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Results of one day.

    :param worth: value of the day before comparison with its marks.
    :param broken: names of the broken rules, or `kept`.
    :param price: name and amount of the largest deduction.
    """

    name: str
    worth: float
    served: float
    refused: float
    failed: float
    broken: str
    price: str


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """One run of the standard days of a site.

    :param partial: whether days were left out or sources changed.
    """

    when: str
    id: str
    site: str
    why: str
    partial: bool
    days: tuple[Day, ...]


def main():
    """Write the page."""
    scores = [_score(path) for path in sorted(JOURNAL.glob('*.json'))]
    parts = [PAGE_HEADER]
    parts += [_section(score) for score in scores if score is not None]
    PAGE.write_text('\n'.join(parts))


def _score(path):
    entry = json.loads(path.read_text())
    # An interrupted run has no days.
    if entry['cmd'] != 'score' or not entry['days']:
        return None
    return Score(
        when=path.name[:15],
        id=entry['id'],
        site=entry['site'],
        why=entry['why'],
        partial=bool(entry['days_left_out'] or entry['edited_meanwhile']),
        days=tuple(_day(day) for day in entry['days']),
    )


def _day(day):
    name, _, cost = max(day['prices'], key=lambda price: price[2])
    return Day(
        name=day['name'],
        worth=day['G'],
        served=day['served'],
        refused=day['refused'],
        failed=day['failed'],
        broken=', '.join(day['rules']) or 'kept',
        price=f'{name} {cost:.3f}',
    )


def _section(score):
    standard = [
        d.worth for d in score.days if d.name.startswith(STANDARD_DAY_PREFIXES)
    ]
    mean = sum(standard) / max(1, len(standard))
    partial = ', partial' if score.partial else ''
    lines = [
        f'## {score.site}, {score.when}, {score.id}{partial}',
        '',
        f'{score.why}. Mean worth of the standard days: {mean:.3f}.',
        '',
        COLUMNS,
        TABLE_RULE,
    ]
    lines += [
        f'| {d.name} | {d.worth:.3f} | {d.served:.3f} | {d.refused:.3f} '
        f'| {d.failed:.3f} | {d.broken} | {d.price} |'
        for d in score.days
    ]
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    main()
