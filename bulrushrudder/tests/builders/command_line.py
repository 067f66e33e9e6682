"""Run the command line in a subprocess."""

import asyncio
import dataclasses
import json
import sys

TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """The exit code and the output of a command.

    :param output: its stdout.
    :param problems: its stderr.
    """

    code: int
    output: str
    problems: str

    @property
    def content(self):
        """Return stdout, decoded from JSON."""
        return json.loads(self.output)


async def run(*words):
    """Run a command and return its CommandResult."""
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
