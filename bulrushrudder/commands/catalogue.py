"""The table of all commands by name."""

from bulrushrudder.commands import bench
from bulrushrudder.commands import control
from bulrushrudder.commands import demo
from bulrushrudder.commands import document
from bulrushrudder.commands import entry
from bulrushrudder.commands import explain
from bulrushrudder.commands import key
from bulrushrudder.commands import solo
from bulrushrudder.commands import status
from bulrushrudder.commands import version
from bulrushrudder.commands import zone

COMMANDS = {
    'entry': entry.entry,
    'control': control.control,
    'solo': solo.solo,
    'demo': demo.demo,
    'document': {
        'check': document.check,
        'submit': document.submit,
        'promote': document.promote,
        'show': document.show,
        'history': document.history,
        'diff': document.diff,
    },
    'key': {'new': key.new},
    'zone': {
        'evacuate': zone.evacuate,
        'restore': zone.restore,
        'show': zone.show,
    },
    'status': status.status,
    'explain': explain.explain,
    'bench': bench.bench,
    'version': version.version,
}
