"""Who is in the middle of the handshake as the listener closes: the close waits for its end."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from ironscale.net import server as module
from ironscale.net.server import Server
from tests.sockets import run
from tests.test_shutdown import Answers, now_us

HEAD = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n"


def row(port: int, state: str) -> str:
    return f"   0: 0100007F:{port:04X} 0100007F:D431 {state} 00000000:00000000 01:00000014 00000000  0  0 0 1 0 20 0\n"


def table(path: Path, *rows: str) -> str:
    path.write_text(HEAD + "".join(rows))
    return str(path)


def test_the_kernel_s_table_is_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for rows, expected in (((), False), ((row(8080, "0A"), row(8080, "01")), False), ((row(8080, "03"),), True),
                           ((row(8081, "03"),), False)):
        monkeypatch.setattr(module, "OPEN_SOCKETS", table(tmp_path / "tcp", *rows))
        assert module.is_half_open(8080) is expected
    monkeypatch.setattr(module, "OPEN_SOCKETS", str(tmp_path / "none"))
    assert not module.is_half_open(8080)
    monkeypatch.undo()
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_connection(listener.getsockname()):
        assert not module.is_half_open(listener.getsockname()[1])


# Guards against a client whose connect has succeeded and who is reset, as a full queue dropped its last packet.
def test_a_listener_stays_open_while_a_handshake_is_not_over(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        server = Server(Answers(), 8, now_us)
        port = await server.listen(("127.0.0.1", 0))
        monkeypatch.setattr(module, "OPEN_SOCKETS", table(tmp_path / "tcp", row(port, "03")))
        assert not server.close_listener() and server.listener is not None
        stopping = asyncio.create_task(server.stop(0.0, 0.0, 0.0, 5.0))
        await asyncio.sleep(0.1)
        assert not stopping.done() and server.listener is not None
        table(tmp_path / "tcp")
        await stopping
        assert server.listener is None

    run(test)
