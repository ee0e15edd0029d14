"""Runs many instances of the decision module for a simulator: reads batches of events on standard input, writes one
reply of actions for each batch on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ironscale import wire
from ironscale.balance import Balancer


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Reads `size` bytes, or fewer if the input ends first."""
    data = source.read(size)
    while len(data) < size:
        chunk = source.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


class InstanceHost:
    """The running instances. They share only the decoder's upstream lists."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.instances: dict[int, Balancer] = {}

    def handle_batch(self, now_us: int, count: int, body: bytes) -> bytes:
        """Handles the events of one batch; returns the reply frame. Raises WireError."""
        records: list[bytes] = []
        for instance, event in self.decoder.decode_batch(body, count):
            if isinstance(event, wire.InstanceStarted):
                settings = wire.parse_settings(event.options)
                self.instances[instance] = Balancer(settings, event.seed, now_us)
            elif isinstance(event, wire.InstanceStopped):
                self.instances.pop(instance, None)
            elif instance in self.instances:
                try:
                    actions = self.instances[instance].handle(now_us, event)
                    records.extend([wire.encode_action(instance, action) for action in actions])
                except Exception as error:  # a bug in the decision module is reported in the reply, not hidden
                    text = f"{type(error).__name__}: {error}"
                    records.append(wire.encode_action(instance, wire.InternalError(text)))
        return wire.encode_reply(records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends. Raises WireError, with the number of the malformed batch."""
    host = InstanceHost()
    batch_number = 0
    while True:
        header = read_exactly(source, wire.HEADER.size)
        if not header:
            return
        try:
            if len(header) < wire.HEADER.size:
                raise wire.WireError(f"truncated header: {len(header)} of {wire.HEADER.size} bytes")
            size, count, now_us = wire.HEADER.unpack(header)
            body = read_exactly(source, size)
            if len(body) < size:
                raise wire.WireError(f"truncated body: {len(body)} of {size} bytes")
            reply = host.handle_batch(now_us, count, body)
        except wire.WireError as error:
            raise wire.WireError(f"batch {batch_number}: {error}") from error
        sink.write(reply)
        sink.flush()
        batch_number += 1


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"ironscale: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("ironscale: standard output was closed by its reader", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())
