#!/usr/bin/env python3
"""A server hands out wrong bytes in place of one answer, on a new connection: a
status line, but neither the request's id nor a seal."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins"))
import ring as rings
from world import ENGINES, TOOLS, Client, Server, configuration, read_body, set_up

SERVERS, IN_TROUBLE = 5, 3  # A share of 0.6.
ORDERS, SPOILED = 34, 1     # At most 3 in 100 of the answers, within 5.5 s.


class Tool(Server):
    trouble = False
    left = SPOILED
    used = set()  # Connections that have carried a request.

    async def run(self, method, target, headers, echo, reader, writer):
        first = writer not in Tool.used
        Tool.used.add(writer)
        if not (self.trouble and first and Tool.left and target.startswith("/order/")):
            return await super().run(method, target, headers, echo, reader, writer)
        Tool.left -= 1
        body = await read_body(reader, headers)
        self.log_run(headers, method, target, body)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnonsense\n")
        self.record.add("wrong_bytes", request=echo["Persimmonring-Request-Id"])
        await writer.drain()
        return False


async def run(ring, record, trouble):
    tools = [Tool(ring, record, TOOLS, i) for i in range(SERVERS)]
    engines = [Server(ring, record, ENGINES, 10 + i) for i in range(2)]
    await set_up(ring, record, tools + engines, configuration(1))
    for server in tools[:IN_TROUBLE]:
        server.trouble = trouble
    client = Client(ring, record, "client")
    broken = []
    for number in range(ORDERS):
        request = client.next_id()
        status, headers, body = await client.send(
            ring.entries[number % len(ring.entries)], "POST /order/1", {}, b"order",
            3000, request)
        if 200 <= status < 300 and "persimmonring-response-seal" not in headers:
            broken.append(f"MIXED: {request} got {status} without the server's seal: "
                          f"{body}")
        await asyncio.sleep(0.1)
    return broken


rings.main(__file__, run)
