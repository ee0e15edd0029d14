"""`ironscale`: the commands, and their exit codes (docs/operate/agent.md)."""

from __future__ import annotations

import sys

import click

from ironscale.cli import instances, processes, rollout
from ironscale.cli.config import config
from ironscale.cli.demo import demo
from ironscale.cli.graphql import graphql
from ironscale.cli.learned import learned
from ironscale.cli.load import load
from ironscale.cli.output import CliError, Exit, err
from ironscale.cli.permit import budgets, forget, halt, permit
from ironscale.cli.record import record
from ironscale.cli.scale import scale
from ironscale.cli.stage import stage


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="ironscale")
def main() -> None:
    """Many sidecars under one command line and one agent.

    Exit codes: 0 done, 1 a fault, 2 bad usage, 3 partial, 4 conflict, 5 no agent, 6 not allowed, 7 still under way.
    """


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script: `eval "$(ironscale completion bash)"`."""
    from click.shell_completion import get_completion_class

    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(main, {}, "ironscale", "_IRONSCALE_COMPLETE").source())


for command in (instances.ls, instances.show, instances.drain, instances.undrain, instances.stop, instances.restart,
                rollout.apply, rollout.rollout, rollout.ops, rollout.events, processes.agent, processes.sidecar,
                 processes.token, config, permit, budgets, halt, forget, learned, load, record, graphql, stage,
                 scale, demo, completion):
    main.add_command(command)


def entry() -> None:
    """Every error that was foreseen is one line and its exit code."""
    try:
        main.main(prog_name="ironscale", standalone_mode=False)
    except CliError as error:
        err.print(f"ironscale: {error}", markup=False)
        sys.exit(error.code)
    except click.ClickException as error:
        error.show()
        sys.exit(Exit.USAGE)
    except (click.Abort, KeyboardInterrupt):
        err.print("stopped")
        sys.exit(Exit.STOPPED)


if __name__ == "__main__":
    entry()
