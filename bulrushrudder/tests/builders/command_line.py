"""Runs the command line as a process of its own."""

import asyncio
import dataclasses
import json
import sys

TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """How a command ended.

    :param output: what it wrote to stdout.
    :param problems: what it wrote to stderr.
    """

    code: int
    output: str
    problems: str

    @property
    def content(self):
        """Return the JSON on stdout."""
        return json.loads(self.output)


async def run(*words):
    """Run a command and return how it ended."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bulrushrudder',
        *map(str, words),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(TIMEOUT_S):
        output, problems = await process.communicate()
    return CommandResult(
        process.returncode, output.decode(), problems.decode()
    )
