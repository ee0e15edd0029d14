"""Prints the GraphQL schema: `python -m ironscale.agent.print_schema > docs/schema.graphql`."""

from __future__ import annotations

from graphql import print_schema

from ironscale.agent.schema import make_schema

if __name__ == "__main__":
    print(print_schema(make_schema()))
