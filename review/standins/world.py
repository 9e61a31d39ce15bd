"""Servers, clients and the operator of the platform, as its pages describe them.
Each only does what the pages allow; cases change single behaviours."""

import asyncio
import itertools
import json
import random
import socket
import time

from ring import HEARTBEAT_MS, CannotRun

HOST = "ring.example"
ENGINES, TOOLS = "agent-models", "order-app"
EVENT_TOKENS = 8
RETENTION_S = 60.0


class Broken(Exception):
    """The connection ended inside a message or without an answer."""


# ------------------------------------------------------------------ messages


async def read_head(reader):
    """Returns (first line, headers by lower-case name), None at the end."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("head cut off") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Broken(f"{type(error).__name__}") from error
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, chunks=None):
    """Reads a body with a length or in chunks; `chunks` gets each as it comes."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return body
                body += chunk
                if chunks is not None:
                    chunks.append(chunk)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken(f"body cut off: {type(error).__name__}") from error


def encode(first_line, headers, body=None):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


async def call(address, line, headers, body, timeout_s, chunks=None):
    """Sends one request on a new connection. Returns (status, headers, body);
    raises Broken, OSError or TimeoutError."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        try:
            writer.write(encode(line, headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise Broken("closed without an answer")
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1], chunks)
        finally:
            writer.transport.abort()
    return await asyncio.wait_for(exchange(), timeout_s)


# ------------------------------------------------------------------- servers


class Server:
    """A server of one service. It announces itself every HEARTBEAT_MS to a node
    that serves `control`, and tries the next one if that doesn't acknowledge."""

    numbers = itertools.count()

    def __init__(self, ring, record, service, number, zone="salem", slots=16):
        self.ring, self.record, self.service = ring, record, service
        self.ip, self.zone, self.slots = ring.server_ip(number), zone, slots
        self.port = 0
        self.state = "ready"
        self.listener = None
        self.writers = set()
        self.beats = None
        self.drain_ack = None  # When a draining heartbeat was first acknowledged.

    async def start(self):
        self.id = f"i-{next(Server.numbers):02d}-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.call_seq = 0
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # The links have small windows: a server that doesn't read blocks its caller.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        listening.bind((self.ip, self.port))
        self.listener = await asyncio.start_server(
            self._serve, sock=listening, limit=1 << 16)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.record.add("server_start", server=self.id, service=self.service,
                        address=f"{self.ip}:{self.port}")
        self.beats = asyncio.create_task(self._announce())

    def end(self):
        """Ends as a killed process does: nothing listens, connections are reset."""
        if self.beats:
            self.beats.cancel()
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.add("server_end", server=self.id)

    def heartbeat(self):
        self.call_seq += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "born": self.born,
                "callSeq": self.call_seq}

    async def beat_once(self):
        state = self.state
        for address in random.sample(self.ring.controls, len(self.ring.controls)):
            beat = self.heartbeat()
            try:
                status, _, _ = await call(
                    address, f"POST /instances/{self.id}/heartbeat HTTP/1.1",
                    {"Host": "control", "Content-Type": "application/json"},
                    json.dumps(beat).encode(), 1.0)
            except (Broken, OSError, asyncio.TimeoutError):
                continue
            if 200 <= status < 300:
                if state == "draining" and self.drain_ack is None:
                    self.drain_ack = self.record.now()
                    self.record.add("drain_acknowledged", server=self.id,
                                    by=address[0], seq=beat["callSeq"])
                return True
        return False

    async def _announce(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                if not await self._handle(head, reader, writer):
                    break
        except (Broken, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, head, reader, writer):
        """Returns False if the connection must not be used further."""
        method, target, _ = head[0].split(" ")
        headers = head[1]
        if target == "/health":
            status = "200 OK" if self.state == "ready" else "503 Draining"
            writer.write(encode(f"HTTP/1.1 {status}",
                                {"Persimmonring-Instance-Id": self.id}, b""))
            return True
        request = headers.get("persimmonring-request-id", "")
        echo = {"Persimmonring-Request-Id": request}
        if self.state == "draining":
            echo["Server-Leaving"] = "1"
        expected = headers.get("persimmonring-expect-instance")
        if expected is not None and expected != self.id:
            await read_body(reader, headers)
            writer.write(encode("HTTP/1.1 421 Misdirected Request", echo, b""))
            return True
        return await self.run(method, target, headers, echo, reader, writer)

    async def run(self, method, target, headers, echo, reader, writer):
        """Runs a request; cases override this."""
        body = await read_body(reader, headers)
        self.log_run(headers, method, target, body)
        if self.service == ENGINES:
            await self.stream(headers, echo, writer)
        else:
            await asyncio.sleep(0.02)
            answer = f"result of {echo['Persimmonring-Request-Id']}".encode()
            writer.write(encode("HTTP/1.1 200 OK", self.seal(echo), answer))
        await writer.drain()
        return True

    def log_run(self, headers, method, target, body):
        self.record.add("run", server=self.id,
                        request=headers.get("persimmonring-request-id"),
                        what=f"{method}:{target}", body_bytes=len(body))

    def seal(self, echo):
        return {**echo, "Persimmonring-Response-Seal":
                f"seal.{self.id}.{echo['Persimmonring-Request-Id']}"}

    async def stream(self, headers, echo, writer, first=1, events=4):
        writer.write(encode("HTTP/1.1 200 OK", {
            **self.seal(echo), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(first, events + 1):
            self.write_event(writer, echo["Persimmonring-Request-Id"], number)
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    @staticmethod
    def write_event(writer, request, number):
        event = f"id: {number}\ndata: {request}.{number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")


# ------------------------------------------------------------------- clients


class Client:
    """Sends requests, each attempt with an id of its own on a new connection."""

    numbers = itertools.count()

    def __init__(self, ring, record, name):
        self.ring, self.record, self.name = ring, record, name

    def next_id(self):
        return f"{self.name}-{next(Client.numbers)}"

    async def send(self, entry, line, headers=None, body=None, deadline_ms=4000,
                   request=None, chunks=None):
        """Returns (status, headers, body); status 0 if there was no whole answer."""
        request = request or self.next_id()
        self.record.add("send", request=request, to=entry.name, what=line.replace(" ", ":"))
        try:
            status, answer, text = await call(
                entry.listen, f"{line} HTTP/1.1",
                {"Host": HOST, "Persimmonring-Request-Id": request,
                 "Persimmonring-Deadline-Ms": deadline_ms, **(headers or {})},
                body, deadline_ms / 1000 + 0.5, chunks)
        except (Broken, OSError, asyncio.TimeoutError) as error:
            self.record.add("no_answer", request=request,
                            error=f"{type(error).__name__}:{error}".replace(" ", "_"))
            return 0, {}, b""
        more = {"retry_after": answer["retry-after"]} if "retry-after" in answer else {}
        self.record.add("answer", request=request, status=status, body_bytes=len(text),
                        sealed=int("persimmonring-response-seal" in answer), **more)
        return status, answer, text

    async def turn(self, entry, program, text, previous="", budget=2304, most=288,
                   path="/chat/t", request=None, chunks=None, more=None):
        headers = {"Persimmonring-Program-Id": program,
                   "Persimmonring-Session-Id": f"s-{program}",
                   "Persimmonring-Program-Deadline-Ms": 20000,
                   "Persimmonring-Token-Budget": budget,
                   "Persimmonring-Token-Usage": f"100,{most}",
                   "Persimmonring-Model": "m", **(more or {})}
        if previous:
            headers["Persimmonring-Previous-Turn"] = previous
        return await self.send(entry, f"POST {path}", headers, text, 4000, request,
                               chunks)


# ------------------------------------------------------------------ operator


def configuration(version, **chat):
    def route(name, kind, service, **more):
        return {"name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/",
                "kind": kind, "timeoutMs": 4000, "goalMs": 300, "priority": 1,
                "service": service, "maxAttempts": 2, **more}
    return {
        "version": version,
        "routes": [
            route("chat", "stream", ENGINES, **{
                "retainContext": True, "retentionS": RETENTION_S, "sticky": True,
                "resumable": False, "gapAimMs": 200, **chat}),
            route("lookup", "safe", TOOLS, timeoutMs=1200, goalMs=150),
            route("order", "unsafe", TOOLS, timeoutMs=3000, goalMs=500,
                  maxAttempts=1)],
        "services": [
            {"name": ENGINES, "healthPath": "/health", "maxConns": 160,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 16, "kvCapacityTokens": 112278,
                        "kvTokenBytes": 163840, "linkMbps": 260000.0, "moves": True,
                        "backups": True, "eventTokens": EVENT_TOKENS, "most": 12,
                        "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                        "models": [{"name": "m"}]}},
            {"name": TOOLS, "healthPath": "/health", "maxConns": 96,
             "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


async def wait_for(what, condition, timeout_s):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{what} not within {timeout_s} s")


async def set_up(ring, record, servers, config):
    """Starts the servers, sends the first configuration until it is accepted and
    waits until every entry is ready and knows servers of both services."""
    for server in servers:
        await server.start()
    body = json.dumps(config).encode()

    async def accepted():
        try:
            status, _, _ = await call(
                random.choice(ring.controls), "POST /configuration/replace HTTP/1.1",
                {"Host": "control", "Content-Type": "application/json"}, body, 1.0)
        except (Broken, OSError, asyncio.TimeoutError):
            return False
        return status == 200
    await wait_for("first configuration", accepted, 15)
    record.add("configuration_acknowledged", version=config["version"])
    ring.end_bootstrap()
    probe = Client(ring, record, "probe")
    for entry in ring.entries:
        async def ready():
            try:
                status, _, _ = await call(entry.ready, "GET /ready HTTP/1.1",
                                          {"Host": "ready"}, None, 1.0)
            except (Broken, OSError, asyncio.TimeoutError):
                return False
            if status != 200:
                return False
            status, _, _ = await probe.send(entry, "GET /lookup/probe", deadline_ms=1200)
            if status != 200:
                return False
            request = probe.next_id()
            status, _, _ = await probe.turn(entry, f"probe-{request}", b"hello",
                                            path="/chat/probe", request=request)
            return status == 200
        await wait_for(f"{entry.name} serves", ready, 15)
    # Machines are in touch contactMs after the start.
    await asyncio.sleep(3.5)
    record.add("set_up")
