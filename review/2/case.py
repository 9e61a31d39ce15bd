#!/usr/bin/env python3
"""A server answers a long request before it has read it, with an answer that has no
length. The server's connection is reset in the middle of that answer."""

import asyncio
import os
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins"))
import ring as rings
from world import (ENGINES, TOOLS, Client, Server, configuration, encode, set_up)

BODY = b"x" * 4_190_000  # Below maxBodyBytes, 4,194,304.
ANSWER = b"confirmation " * 60
SERVERS, IN_TROUBLE = 5, 3  # A share of 0.6.
SHORT, LONG = 300, 9        # At most 3 in 100 of all answers are broken off.
WORKERS = 6


class EarlyServer(Server):
    """Answers orders before it has read them; the answer ends with the connection."""
    trouble = False

    async def run(self, method, target, headers, echo, reader, writer):
        if int(headers.get("content-length", "0")) < len(BODY):
            return await super().run(method, target, headers, echo, reader, writer)
        request = echo["Persimmonring-Request-Id"]
        self.log_run(headers, method, target, b"")
        writer.transport.pause_reading()
        writer.write(encode("HTTP/1.1 200 OK", self.seal(echo)))
        whole = not self.trouble
        writer.write(ANSWER if whole else ANSWER[:len(ANSWER) // 2])
        await writer.drain()
        self.record.add("answered", request=request, whole=int(whole))
        if whole:
            # The end of the answer; the rest of the request is read meanwhile.
            writer.write_eof()
            writer.transport.resume_reading()
            while await reader.read(65536):
                pass
            return False
        await asyncio.sleep(0.2)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        writer.transport.abort()
        self.record.add("reset", request=request)
        return False


async def run(ring, record, trouble):
    tools = [EarlyServer(ring, record, TOOLS, i) for i in range(SERVERS)]
    engines = [Server(ring, record, ENGINES, 10 + i) for i in range(2)]
    await set_up(ring, record, tools + engines, configuration(1))
    client = Client(ring, record, "client")
    for server in tools[:IN_TROUBLE]:
        server.trouble = trouble
    start = record.now()

    async def short_orders(number):
        for i in range(SHORT // WORKERS):
            await client.send(ring.entries[(number + i) % len(ring.entries)],
                              "POST /order/1", {}, b"short order", 3000)
    work = [asyncio.create_task(short_orders(number)) for number in range(WORKERS)]
    broken = []
    for number in range(LONG):
        entry = ring.entries[number % len(ring.entries)]
        request = client.next_id()
        status, headers, body = await client.send(
            entry, "POST /order/1", {}, BODY, 3000, request)
        if 200 <= status < 300 and body != ANSWER:
            broken.append(
                f"MIXED: {request} got {status} with a complete body of {len(body)} "
                f"bytes; the server's answer has {len(ANSWER)} and was reset")
        if not trouble and status != 200:
            raise rings.CannotRun(f"without trouble, {request} got {status}")
    record.add("trouble_ends", after_s=f"{record.now() - start:.1f}")
    for server in tools:
        server.trouble = False
    await asyncio.gather(*work)
    return broken


rings.main(__file__, run)
