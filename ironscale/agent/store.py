"""The record: what the agent keeps, behind one narrow interface. No SQL outside the module that fills it.

A `Records` is handed to a piece of work within one transaction; `Store.write` returns once it is committed
and durable, so whatever is told to an operator after it survives a kill.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

from ironscale.agent.model import Operation, Target
from ironscale.agent.terms import Owner, Term
from ironscale.disruption.model import Halt, Permit
from ironscale.versions.compacted_log import Change
from ironscale.versions.model import Entry, Scope

T = TypeVar("T")


class StoreError(Exception):
    """The record can't be written or read; nothing of that piece of work was kept, unless the code is UNKNOWN. The text
    is one line."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        # FULL, LOCKED, READ_ONLY, DAMAGED, NEWER, FAILED; AWAY = not reached, or not in time; UNKNOWN = the work may
        # stand; TAKEN, LESS = it is no longer this agent's, or holds less than it had confirmed: the agent ends
        self.code = code


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """What is kept of an instance between its processes and the agent's."""

    name: str
    boot: str
    pid: int
    version: str
    zone: str
    listen: str
    started_ms: int
    first_seen_ms: int
    heard_ms: int  # as of the last change of its state; see `Records.alive_ms`
    connected: bool
    generation: int  # as it last showed
    desired: int  # that it should run: 0 = its file alone
    ended: str = ""
    host: str = ""
    ticks: int = 0  # the kernel's start time of the process; with pid and host it names one process


@dataclass(frozen=True, slots=True)
class Configuration:
    """One generation: a JSON merge patch on each instance's own file."""

    generation: int
    overlay: dict[str, Any]
    actor: str
    at_ms: int
    operation: int


@dataclass(frozen=True, slots=True)
class Event:
    """A line of the audit log."""

    id: int
    at_ms: int
    actor: str
    action: str
    subject: str
    result: str
    detail: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TokenRow:
    name: str
    role: str
    digest: str
    created_ms: int
    revoked_ms: int = 0


@dataclass(frozen=True, slots=True)
class Published:
    """A version as the record has it."""

    entry: Entry
    note: str
    in_force: bool  # it is the newest of its scope


class Records(Protocol):
    """Everything that can be asked of the record, within one transaction."""

    def instances(self) -> list[InstanceRow]: ...
    def put_instances(self, rows: Iterable[InstanceRow]) -> None: ...
    def set_desired(self, generations: Iterable[tuple[str, int]]) -> None: ...
    def forget_instance(self, name: str) -> None: ...
    def alive_ms(self) -> int: ...
    def set_alive(self, at_ms: int) -> None: ...

    def next_fence(self) -> int:
        """A number above all that were given before."""

    def next_operation(self) -> int: ...
    def operation(self, ident: int) -> Operation | None: ...
    def operations(self, before: int, most: int, open_only: bool = False) -> list[Operation]:
        """The newest first, with ids under `before`."""

    def put_operation(self, operation: Operation) -> None: ...
    def targets(self, operation: int) -> list[Target]: ...
    def put_targets(self, operation: int, targets: Iterable[Target]) -> None: ...

    def current_generation(self) -> int: ...
    def configuration(self, generation: int) -> Configuration | None: ...
    def add_configuration(self, configuration: Configuration) -> None:
        """Raises StoreError where the generation is taken."""

    def mutation(self, actor: str, key: str) -> tuple[str, int] | None:
        """Fingerprint and operation of an earlier mutation with this idempotency key."""

    def add_mutation(self, actor: str, key: str, fingerprint: str, operation: int, at_ms: int) -> None: ...

    def audit(self, at_ms: int, actor: str, action: str, subject: str, result: str,
              detail: dict[str, Any] | None = None) -> None: ...
    def events(self, after: int, most: int) -> list[Event]: ...
    def last_event(self) -> int: ...

    def next_permit(self) -> int: ...
    def permits(self, open_only: bool = False) -> list[Permit]: ...
    def permit_of(self, holder: str, key: str) -> Permit | None: ...
    def put_permits(self, permits: Iterable[Permit]) -> None:
        """Those of operations go when they have ended; others stay for who asks again, until `prune_permits`."""

    def prune_permits(self, before_ms: int) -> None: ...
    def halt(self) -> Halt | None:
        """The one that stands."""

    def put_halt(self, halt: Halt) -> None: ...

    def tokens(self) -> list[TokenRow]: ...
    def put_token(self, token: TokenRow) -> None: ...

    def lineage(self) -> str:
        """Of the log of versions; empty until it is made."""

    def make_lineage(self) -> str:
        """The log's, made where there is none yet: by who leads, before anybody is told a position."""

    def version_change(self, since: int, lineage: str) -> Change:
        """What one at `since` of `lineage` lacks; where nothing is new, one look at one row. Of another lineage, from
        before what was compacted, or ahead of this log: a snapshot of the whole."""

    def version_position(self) -> int: ...
    def newest(self, scope: Scope) -> Entry | None: ...
    def standing(self, scope: Scope) -> tuple[str, int, int, Entry | None]:
        """Lineage, position and floor of the log, and the scope's newest, in one look."""

    def in_force(self, scopes: Sequence[Scope]) -> list[Published]:
        """The newest of each, all as of the same moment."""

    def count_scopes(self) -> int: ...
    def version(self, number: int) -> Published | None: ...
    def versions(self, before: int, most: int, scope: Scope | None = None) -> list[Published]:
        """The newest first, with numbers under `before`."""

    def add_version(self, scope: Scope, overlay: Mapping[str, Any] | None, base: int, actor: str, at_ms: int,
                    restores: int = 0, note: str = "") -> Entry:
        """The log's next: numbers have no holes, as a transaction that fails takes its own back."""

    def compact_versions(self, keep: int, before_ms: int) -> int:
        """Drops what no follower and no way back needs: what was no longer in force when the history that is kept
        begins, and by then said only that its scope has none. The history is the last `keep` versions, but none of
        before `before_ms`. Gives how many rows went; some of more remain for the next call."""


class Store(Protocol):
    term: Term  # of this agent on the record

    async def owner(self) -> Owner: ...

    async def claim(self) -> None:
        """Raises StoreError, LOCKED while another agent holds the record."""

    async def give_up(self) -> None: ...

    async def write(self, work: Callable[[Records], T], late: Callable[[T], None] | None = None) -> T:
        """Runs `work` in a transaction; returns when it is durable. Raises StoreError, or what `work` raised. `late`
        hears the result of one that was told as UNKNOWN and stands, before anything else is written."""

    async def read(self, work: Callable[[Records], T]) -> T: ...

    def close(self) -> None: ...
