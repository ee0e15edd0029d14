"""A closing listener resets no client that believes itself connected, and leaves none waiting in its connect."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any

import pytest

from ironscale.net.listener_shutdown import ListenerShutdown, Reached
from ironscale.net.server import Server
from ironscale.standins.http import read_message
from tests import test_shutdown
from tests.sockets import run
from tests.test_shutdown import REQUEST, AnsweringApplication, now_us


async def listening(port: int = 0, shares_port: bool = False) -> Server:
    server = Server(AnsweringApplication(), 64, now_us)
    await server.listen(("127.0.0.1", port), shares_port)
    return server


def address(server: Server) -> tuple[str, int]:
    assert server.listener is not None
    found: tuple[str, int] = server.listener.getsockname()
    return found


async def is_answered(client: socket.socket) -> bool:
    client.setblocking(False)
    try:
        client.send(REQUEST)
        reader, writer = await asyncio.open_connection(sock=client)
        answered = (await read_message(reader)).status == 200
        writer.close()
    except OSError:
        return False
    return answered


# Guards against a client that is reset after its connect, because its handshake had not ended when the listener closed.
@pytest.mark.parametrize("shares_port", [False, True])
def test_a_handshake_that_ends_while_the_listener_closes_is_served(shares_port: bool) -> None:
    async def test() -> None:
        server = await listening(shares_port=shares_port)
        others = [await listening(address(server)[1], True)] if shares_port else []
        assert server.listener is not None
        for one in [server, *others]:  # with this option the kernel completes a handshake only at the first byte
            assert one.listener is not None
            one.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 5)
        clients = [socket.create_connection(address(server)) for _ in range(8)]
        await asyncio.sleep(0.05)
        server.close_listener()
        assert all([await is_answered(client) for client in clients])
        while not server.close_listener():
            await asyncio.sleep(0.01)
        for one in [server, *others]:
            await one.stop(0.0, 0.0, 0.0, 5.0)

    run(test)


# Guards against clients that hang in their connect, because a close that failed at first had cut the accept queue.
def test_a_close_that_fails_at_first_keeps_no_client_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        server = await listening()
        clients = [socket.socket() for _ in range(6)]

        def no_socket(*_: object) -> socket.socket:
            raise OSError(errno.ENFILE, "no file")

        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", no_socket)
            assert not server.close_listener()
        for client in clients:
            client.settimeout(0.5)
        results = [client.connect_ex(address(server)) for client in clients]  # the event loop accepts none meanwhile
        assert set(results) <= {0, errno.ECONNREFUSED}, results
        for client, result in zip(clients, results, strict=True):
            assert result or await is_answered(client)
            client.close()
        await server.stop(0.0, 0.0, 0.0, 5.0)
        assert server.listener is None

    run(test)


# Guards against a new connection that a shutdown closes before its client, which is delayed, sends its first request.
def test_a_first_request_that_comes_late_in_a_shutdown_is_served() -> None:
    async def test() -> None:
        server = await listening()
        stopping = asyncio.create_task(server.stop(0.2, 0.45, 0.65, 3.0))
        clients = []
        for _ in range(8):
            await asyncio.sleep(0.05)
            clients.append(socket.create_connection(address(server)))
        await asyncio.sleep(0.3)
        assert all([await is_answered(client) for client in clients])
        await stopping

    run(test)


# Guards against a silent connection that keeps the process from ending until it gets SIGKILL.
def test_a_new_connection_that_stays_silent_is_closed_in_a_shutdown() -> None:
    async def test() -> None:
        server = await listening()
        with socket.create_connection(address(server)) as client:
            async with asyncio.timeout(2.0):
                await server.stop(0.2, 0.45, 0.65, 5.0)
            assert client.recv(10) == b""

    run(test)


# Guards against a listener left open by a failed start: it would take connections from the next start's listener, and
# nobody would accept them.
def test_a_start_that_fails_leaves_no_listener(monkeypatch: pytest.MonkeyPatch) -> None:
    class NoOptions(socket.socket):
        def setsockopt(self, *_: object) -> None:
            raise OSError(errno.ENOBUFS, "no buffer")

    real, made = socket.create_server, []

    def create_server(*args: Any, **options: Any) -> socket.socket:
        made.append(NoOptions(fileno=real(*args, **options).detach()))
        return made[-1]

    async def test() -> None:
        monkeypatch.setattr(socket, "create_server", create_server)
        with pytest.raises(OSError, match="no buffer"):
            await listening()
        assert made[0].fileno() == -1

    run(test)


def raise_unsupported(*_: object) -> None:
    raise OSError(errno.ENOPROTOOPT, "no such option")


# Guards against resets where the kernel can't divert new connections: the last clients wait in their connect instead.
@pytest.mark.parametrize("test", [
    test_shutdown.test_a_client_that_comes_as_the_listener_closes_is_refused_before_it_sends_anything,
    test_shutdown.test_a_client_that_comes_as_a_listener_on_a_shared_port_closes_is_served_by_the_other,
], ids=["alone", "shared"])
def test_a_listener_that_cannot_be_hidden_closes_with_a_full_queue(test: Callable[[], None],
                                                                   monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ListenerShutdown, "bind_to_device", raise_unsupported)
    monkeypatch.setattr(ListenerShutdown, "select_listener", raise_unsupported)
    test()


def allow_only_one_bind(monkeypatch: pytest.MonkeyPatch) -> None:
    """Simulates an unprivileged process: a listener that is bound to a device can't be bound again."""
    bind_to, bound = ListenerShutdown.bind_to_device, set[ListenerShutdown]()

    def bind(self: ListenerShutdown, device: int) -> None:
        if self in bound:
            raise OSError(errno.EPERM, "not permitted")
        bound.add(self)
        bind_to(self, device)

    monkeypatch.setattr(ListenerShutdown, "bind_to_device", bind)


# Guards against an unprivileged process that can't close its hidden listener, because it tries to bind it once more.
def test_a_listener_whose_probes_fail_at_first_is_bound_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def unknown(self: ListenerShutdown) -> Reached:
        return Reached.UNKNOWN

    async def test() -> None:
        server = await listening()
        with monkeypatch.context() as patch:
            patch.setattr(ListenerShutdown, "send_probe", unknown)
            assert not any(server.close_listener() for _ in range(3))
        async with asyncio.timeout(5.0):
            await test_shutdown.close_listener_completely(server)
        await server.stop(0.0, 0.0, 0.0, 5.0)

    allow_only_one_bind(monkeypatch)
    run(test)


# Guards against the same failure where a successor joins a shared port while its only listener is closing.
def test_a_successor_that_joins_late_gets_new_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        for _ in range(6):  # the kernel chooses between the two by the probe's port
            server = await listening(shares_port=True)
            assert not server.close_listener()
            successor = await listening(address(server)[1], True)
            async with asyncio.timeout(5.0):
                await test_shutdown.close_listener_completely(server)
            for _ in range(4):
                assert await is_answered(socket.create_connection(address(successor), 2.0))
            for one in (server, successor):
                await one.stop(0.0, 0.0, 0.0, 5.0)

    allow_only_one_bind(monkeypatch)
    run(test)
