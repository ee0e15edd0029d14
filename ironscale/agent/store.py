"""The interface of the agent's store. SQL appears only in the modules that implement it.

`Store.write` passes a `Records` to a function that runs within one transaction, and returns once that transaction is
committed and durable. What an operator is told after that survives the agent being killed.
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
    """The store can't be read or written. Nothing of the transaction was kept, unless the code is UNKNOWN. The text is
    one line."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        # FULL, LOCKED, READ_ONLY, DAMAGED, NEWER, FAILED. AWAY: not reached, or not in time. UNKNOWN: the transaction
        # may have been committed. TAKEN, LESS: another agent owns the store now, or the store has lost writes that it
        # had confirmed; the agent exits on both.
        self.code = code


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """What is stored about an instance; it outlives the instance's processes and the agent's."""

    name: str
    boot: str
    pid: int
    version: str
    zone: str
    listen: str
    started_ms: int
    first_seen_ms: int
    heard_ms: int  # last contact, stored only when the instance's state changes; see `Records.alive_ms`
    connected: bool
    generation: int  # that it last reported to run
    desired: int  # generation that it should run; 0: only its own configuration file
    ended: str = ""
    host: str = ""
    ticks: int = 0  # start time of the process in kernel ticks; with pid and host it identifies one process


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
    """An entry of the audit log."""

    id: int
    at_ms: int
    actor: str
    action: str
    subject: str
    result: str
    detail: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TokenRow:
    """A bearer token; only the digest of its secret is stored."""

    name: str
    role: str
    digest: str
    created_ms: int
    revoked_ms: int = 0


@dataclass(frozen=True, slots=True)
class Published:
    """A published version as it is stored."""

    entry: Entry
    note: str
    in_force: bool  # it is the newest version of its scope


class Records(Protocol):
    """Every read and write of the store, within one transaction."""

    def instances(self) -> list[InstanceRow]: ...
    def put_instances(self, rows: Iterable[InstanceRow]) -> None: ...
    def set_desired(self, generations: Iterable[tuple[str, int]]) -> None: ...
    def forget_instance(self, name: str) -> None: ...
    def alive_ms(self) -> int: ...
    def set_alive_ms(self, at_ms: int) -> None: ...

    def next_fence(self) -> int:
        """Returns a number above all fences returned before."""

    def next_operation(self) -> int: ...
    def operation(self, ident: int) -> Operation | None: ...
    def operations(self, before: int, most: int, open_only: bool = False) -> list[Operation]:
        """At most `most` operations with ids under `before`, newest first."""

    def put_operation(self, operation: Operation) -> None: ...
    def targets(self, operation: int) -> list[Target]: ...
    def put_targets(self, operation: int, targets: Iterable[Target]) -> None: ...

    def current_generation(self) -> int: ...
    def configuration(self, generation: int) -> Configuration | None: ...
    def add_configuration(self, configuration: Configuration) -> None:
        """Raises StoreError if the generation exists already."""

    def mutation(self, actor: str, key: str) -> tuple[str, int] | None:
        """Fingerprint and operation of an earlier mutation with this idempotency key."""

    def add_mutation(self, actor: str, key: str, fingerprint: str, operation: int, at_ms: int) -> None: ...

    def audit(self, at_ms: int, actor: str, action: str, subject: str, result: str,
              detail: dict[str, Any] | None = None) -> None: ...
    def events(self, after: int, most: int) -> list[Event]: ...
    def last_event(self) -> int: ...

    def next_permit(self) -> int: ...
    def permits(self, open_only: bool = False) -> list[Permit]: ...
    def permit_by_key(self, holder: str, key: str) -> Permit | None: ...
    def put_permits(self, permits: Iterable[Permit]) -> None:
        """Stores the permits. A permit of an operation is deleted once it has ended; a permit taken by another holder
        stays after its end, so that a repeated request finds it, until `prune_permits`."""

    def prune_permits(self, before_ms: int) -> None: ...
    def halt(self) -> Halt | None:
        """The halt that is in force, if any."""

    def put_halt(self, halt: Halt) -> None: ...

    def tokens(self) -> list[TokenRow]: ...
    def put_token(self, token: TokenRow) -> None: ...

    def lineage(self) -> str:
        """The identifier of the version log; empty until `make_lineage` creates it."""

    def make_lineage(self) -> str:
        """Returns the identifier of the version log, creating it if there is none. The leading agent calls this before
        any follower is sent a position."""

    def version_change(self, since: int, lineage: str) -> Change:
        """What a follower at position `since` of `lineage` is missing. If nothing is new, this reads a single row. A
        follower of another lineage, older than the compacted part of the log, or ahead of the log gets a full
        snapshot."""

    def version_position(self) -> int: ...
    def newest(self, scope: Scope) -> Entry | None: ...
    def log_and_newest(self, scope: Scope) -> tuple[str, int, int, Entry | None]:
        """Lineage, position and floor of the log, and the scope's newest version, read in one statement."""

    def in_force(self, scopes: Sequence[Scope]) -> list[Published]:
        """The newest version of each scope, all read at the same moment."""

    def count_scopes_in_force(self) -> int: ...
    def version(self, number: int) -> Published | None: ...
    def versions(self, before: int, most: int, scope: Scope | None = None) -> list[Published]:
        """At most `most` versions with numbers under `before`, newest first."""

    def add_version(self, scope: Scope, overlay: Mapping[str, Any] | None, base: int, actor: str, at_ms: int,
                    restores: int = 0, note: str = "") -> Entry:
        """Appends a version to the log. Numbers have no gaps, because a transaction that fails rolls back its own."""

    def compact_versions(self, keep: int, before_ms: int) -> int:
        """Deletes versions that neither followers nor a restore need: those superseded before the retained history
        begins, and removals of a scope's overlay from before then. The retained history is the last `keep` versions,
        without those from before `before_ms`. Returns how many rows were deleted; one call handles a limited number
        of scopes, so call again until it returns 0."""


class Store(Protocol):
    term: Term  # during which this agent owns the store

    async def owner(self) -> Owner: ...

    async def claim(self) -> None:
        """Makes this agent the store's owner. Raises StoreError, with LOCKED while another agent owns it."""

    async def release_ownership(self) -> None: ...

    async def write(self, work: Callable[[Records], T], late: Callable[[T], None] | None = None) -> T:
        """Runs `work` in a transaction and returns when it is durable. Raises StoreError, or what `work` raised. If
        StoreError UNKNOWN was raised and the transaction turns out to be committed, `late` is called with the result
        before anything else is written."""

    async def read(self, work: Callable[[Records], T]) -> T: ...

    def close(self) -> None: ...
