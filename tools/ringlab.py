"""Starts a small ring of real processes on loopback for the demo and for tests.

Every process is a child of this script and is ended by its process id. Keeper
data, settings and logs live in one temporary folder.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass, field

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("RING_BUILD", os.path.join(ROOT, "build"))
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30
HOST = "127.0.0.1"


def free_ports(count):
    """Returns ports that are free now. They are taken below the range that the
    system uses for outgoing connections, so that none is lost before its
    process binds it."""
    ports = []
    candidate = 10000 + (os.getpid() * 97) % 15000
    while len(ports) < count:
        candidate = candidate + 1 if candidate < 30000 else 10000
        with socket.socket() as probe:
            try:
                probe.bind((HOST, candidate))
                ports.append(candidate)
            except OSError:
                continue
    return ports


def request(port, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request. Returns (status, headers, body text)."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        sent = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, payload, sent)
        response = connection.getresponse()
        return (response.status, dict(response.getheaders()),
                response.read().decode("utf-8", "replace"))
    finally:
        connection.close()


def get_json(port, path, timeout=5):
    status, _, text = request(port, "GET", path, timeout=timeout)
    if status != 200:
        raise RuntimeError(f"GET {path} on {port}: {status} {text}")
    return json.loads(text)


class Process:
    """A process of the ring, started by this script."""

    def __init__(self, name, args, log):
        self.name = name
        self.args = args
        self.log = log
        self.child = None

    def start(self):
        with open(self.log, "ab") as output:
            self.child = subprocess.Popen(self.args, stdout=output,
                                          stderr=subprocess.STDOUT,
                                          stdin=subprocess.DEVNULL)

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.alive():
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Sends SIGTERM and waits. Returns the exit code, or None after a kill."""
        if self.child is None:
            return 0
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


@dataclass
class Entry:
    name: str
    domain: str
    region: str
    http: int
    admin: int
    metrics: int
    wire: int
    process: Process = None


@dataclass
class Keeper:
    name: str
    domain: str
    region: str
    wire: int
    health: int
    metrics: int
    process: Process = None


@dataclass
class Upstream:
    name: str
    domain: str
    kind: str
    port: int
    process: Process = None


@dataclass
class Shape:
    """What the ring consists of."""
    ring: str = "demo"
    domains: dict = field(default_factory=lambda: {
        "salem": "oregon", "medford": "oregon", "tacoma": "washington"})
    entries_per_domain: int = 1
    engines_per_domain: int = 1
    services_per_domain: int = 0
    model: str = "bracket-agent"
    service: str = "orders"
    engine_args: list = field(default_factory=list)
    entry_settings: dict = field(default_factory=dict)
    keeper_settings: dict = field(default_factory=dict)
