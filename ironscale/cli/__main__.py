"""`python -m ironscale.cli`."""

from ironscale.cli.main import entry

entry()
