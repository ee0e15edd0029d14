"""Reads what the kernel knows of a TCP connection."""

from __future__ import annotations

import asyncio
import socket
import struct

KERNEL_TICK_S = 0.01  # resolution of the times
# The first fields of the kernel's struct tcp_info, and the indexes of those that are used.
TCP_INFO = struct.Struct("8B15I")
STATE, RETRANSMITS, BACKOFF, UNACKED, SINCE_LAST_DATA_MS, SINCE_LAST_ACK_MS = 0, 2, 4, 12, 19, 20
CLOSE_WAIT = 8  # the state of a connection that the peer has closed


def tcp_info(transport: asyncio.Transport) -> tuple[int, ...]:
    sock = transport.get_extra_info("socket")
    return TCP_INFO.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size))
