"""The command-line application."""

from cleo import application

from rattanpulley._internal.commands import audit_command
from rattanpulley._internal.commands import base
from rattanpulley._internal.commands import claim_commands
from rattanpulley._internal.commands import explain_command
from rattanpulley._internal.commands import move_commands
from rattanpulley._internal.commands import status_command
from rattanpulley._internal.commands import table_commands
from rattanpulley._internal.commands import watch_command

VERSION = "0.1.0"

_COMMANDS: tuple[type[base.OperatorCommand], ...] = (
    table_commands.CheckCommand,
    table_commands.DiffCommand,
    table_commands.ApplyCommand,
    table_commands.GetCommand,
    watch_command.WatchCommand,
    status_command.StatusCommand,
    audit_command.AuditCommand,
    explain_command.ExplainCommand,
    claim_commands.UnknownCommand,
    claim_commands.SettleCommand,
    move_commands.MoveStartCommand,
    move_commands.MovePauseCommand,
    move_commands.MoveTakeBackCommand,
)


def build(services: base.Services) -> application.Application:
    """Returns the application with all commands."""
    app = application.Application("rattanpulley", VERSION)
    for command_class in _COMMANDS:
        app.add(command_class(services))
    return app
