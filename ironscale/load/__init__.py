"""An open-loop load generator that watches itself (docs/operate/load.md). Off the data path: nothing imports it."""
