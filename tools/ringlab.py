"""Runs a small ring of processes on loopback for the demo, benchmarks and tests.

All processes are children of this script and are stopped by process id. Keeper
data, settings and logs are stored in one temporary folder.
"""

import http.client
import itertools
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


PORTS = itertools.cycle(range(10000, 30000))
# Start at a different port in each process, to keep parallel runs apart.
for _ in range((os.getpid() * 97) % 19000):
    next(PORTS)


def free_ports(count):
    """Returns ports that are free now and were not returned before. They are below
    the range of ephemeral ports, so that no outgoing connection takes one before
    its process binds it."""
    ports = []
    while len(ports) < count:
        candidate = next(PORTS)
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
    """A child process of this script."""

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
        """Sends SIGTERM and waits. Returns the exit code, or None if the process did
        not stop in time and was killed."""
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
    replica: int = 0       # Id of its replicas, equal in all groups.
    joins: bool = False    # Its replicas join existing groups.


@dataclass
class Upstream:
    name: str
    domain: str
    kind: str
    port: int
    process: Process = None


@dataclass
class Shape:
    """Size and settings of a ring."""
    ring: str = "demo"
    domains: dict = field(default_factory=lambda: {
        "salem": "oregon", "medford": "oregon", "tacoma": "washington"})
    entries_per_domain: int = 1
    engines_per_domain: int = 1
    services_per_domain: int = 0
    model: str = "bracket-agent"
    service: str = "orders"
    engine_args: list = field(default_factory=list)
    service_args: list = field(default_factory=list)
    entry_settings: dict = field(default_factory=dict)
    keeper_settings: dict = field(default_factory=dict)


class Ring:
    """A ring of keepers, entries and fake upstreams.

    Use it as a context manager, which stops all processes at the end, also after
    an error. The folder is then removed, except with `keep` or after an error.
    """

    def __init__(self, shape=None, folder=None, keep=False):
        self.shape = shape or Shape()
        self.folder = folder or tempfile.mkdtemp(prefix="ring-")
        self.keep = keep
        self.domains = list(self.shape.domains)
        self.keepers = []
        self.entries = []
        self.upstreams = []
        self.extra = []  # Additional processes, for example ringlink.
        # Port that a node uses for a peer instead of its own: (from, to) -> port.
        self.routes = {}
        self._plan()

    # ------------------------------------------------------------- planning

    def _plan(self):
        shape = self.shape
        entry_count = len(self.domains) * shape.entries_per_domain
        upstream_count = len(self.domains) * (shape.engines_per_domain +
                                              shape.services_per_domain)
        ports = iter(free_ports(3 * len(self.domains) + 4 * entry_count +
                                upstream_count))
        for number, domain in enumerate(self.domains, 1):
            self.keepers.append(Keeper(f"keeper-{number}", domain,
                                       shape.domains[domain], next(ports),
                                       next(ports), next(ports),
                                       replica=number))
        for domain in self.domains:
            for number in range(1, shape.entries_per_domain + 1):
                self.entries.append(Entry(
                    f"entry-{domain}-{number}", domain, shape.domains[domain],
                    next(ports), next(ports), next(ports), next(ports)))
        for domain in self.domains:
            for number in range(1, shape.engines_per_domain + 1):
                self.upstreams.append(Upstream(
                    f"engine-{domain}-{number}", domain, "engine", next(ports)))
            for number in range(1, shape.services_per_domain + 1):
                self.upstreams.append(Upstream(
                    f"service-{domain}-{number}", domain, "service",
                    next(ports)))

    def groups(self):
        return ["control"] + self.domains

    def path(self, *parts):
        return os.path.join(self.folder, *parts)

    def _write_settings(self, name, settings):
        os.makedirs(self.path("settings"), exist_ok=True)
        file = self.path("settings", name + ".json")
        with open(file, "w", encoding="utf-8") as output:
            json.dump(settings, output, indent=2)
        return file

    def _address(self, origin, target, port):
        return f"{HOST}:{self.routes.get((origin, target), port)}"

    def keeper_settings(self, keeper):
        members = [] if keeper.joins else [
            {"replica": number, "node": other.name}
            for number, other in enumerate(self.keepers, 1)]
        return {
            "ring": self.shape.ring, "node": keeper.name,
            "domain": keeper.domain, "region": keeper.region,
            "listen": f"{HOST}:{keeper.wire}",
            "data_folder": self.path("data", keeper.name),
            "metrics_address": f"{HOST}:{keeper.metrics}",
            "health_address": f"{HOST}:{keeper.health}",
            "keepers": [{"node": other.name, "domain": other.domain,
                         "address": self._address(keeper.name, other.name,
                                                  other.wire)}
                        for other in self.keepers],
            "groups": [{"name": group, "replica": keeper.replica,
                        "initial_members": members}
                       for group in self.groups()],
            **self.shape.keeper_settings,
        }

    def entry_settings(self, entry):
        return {
            "ring": self.shape.ring, "node": entry.name,
            "domain": entry.domain, "region": entry.region,
            "http_address": f"{HOST}:{entry.http}",
            "admin_address": f"{HOST}:{entry.admin}",
            "metrics_address": f"{HOST}:{entry.metrics}",
            "wire_address": f"{HOST}:{entry.wire}",
            "keepers": [self._address(entry.name, keeper.name, keeper.wire)
                        for keeper in self.keepers],
            "seeds": [self._address(entry.name, other.name, other.wire)
                      for other in self.entries if other is not entry],
            **self.shape.entry_settings,
        }

    # ------------------------------------------------------------- starting

    def _process(self, name, args):
        os.makedirs(self.path("logs"), exist_ok=True)
        return Process(name, args, self.path("logs", name + ".log"))

    def binary(self, name):
        return os.path.join(BUILD, name)

    def initialize_keeper(self, keeper):
        file = self._write_settings(keeper.name, self.keeper_settings(keeper))
        os.makedirs(self.path("data"), exist_ok=True)
        subprocess.run([self.binary("ringkeeper"), "--config", file,
                        "--initialize"], check=True,
                       stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    def start_keeper(self, keeper):
        file = self._write_settings(keeper.name, self.keeper_settings(keeper))
        keeper.process = self._process(
            keeper.name, [self.binary("ringkeeper"), "--config", file])
        keeper.process.start()

    def start_entry(self, entry):
        file = self._write_settings(entry.name, self.entry_settings(entry))
        entry.process = self._process(
            entry.name, [self.binary("ringentry"), "--config", file])
        entry.process.start()

    def start_upstream(self, upstream):
        entries = [f"{HOST}:{entry.http}" for entry in self.entries
                   if entry.domain == upstream.domain]
        args = [self.binary("ringfake"), "--kind", upstream.kind,
                "--name", upstream.name, "--port", str(upstream.port),
                "--domain", upstream.domain,
                "--region", self.shape.domains[upstream.domain],
                "--entries", *entries]
        if upstream.kind == "engine":
            args += ["--models", self.shape.model, *self.shape.engine_args]
        else:
            args += ["--services", self.shape.service,
                     *self.shape.service_args]
        upstream.process = self._process(upstream.name, args)
        upstream.process.start()

    def start(self):
        for keeper in self.keepers:
            self.initialize_keeper(keeper)
        for keeper in self.keepers:
            self.start_keeper(keeper)
        self.wait("keepers are ready", lambda: all(
            self.is_ready(keeper.health) for keeper in self.keepers))
        for entry in self.entries:
            self.start_entry(entry)
        self.wait("entries are ready", lambda: all(
            self.is_ready(entry.admin) for entry in self.entries))
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        self.wait("upstreams are announced", self.all_announced)

    def replace_replicas(self, keeper, replica):
        """Gives a stopped keeper an empty folder and replicas with a new id:
        removes the old replicas, adds the new ones, starts the keeper."""
        shutil.rmtree(self.path("data", keeper.name))
        old = keeper.replica
        for group in self.groups():
            self.ringctl_until_done("replica", "remove", group, str(old))
            self.ringctl_until_done("replica", "add", group, str(replica),
                                    keeper.name)
        keeper.replica = replica
        keeper.joins = True
        self.initialize_keeper(keeper)
        self.start_keeper(keeper)

    def ringctl_until_done(self, *args, timeout=20):
        """Repeats a ringctl command until it succeeds, for example after a group has
        elected a leader. Raises RuntimeError after `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while True:
            result = self.ringctl(*args, check=False)
            if result.returncode == 0:
                return result
            if time.monotonic() > deadline:
                raise RuntimeError(f"ringctl {' '.join(args)}: "
                                   f"{result.stderr or result.stdout}")
            time.sleep(0.3)

    def is_ready(self, port):
        try:
            return request(port, "GET", "/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def all_announced(self):
        """True if each entry lists each upstream as up."""
        names = {upstream.name for upstream in self.upstreams}
        try:
            for entry in self.entries:
                status = get_json(entry.admin, "/admin/status")
                up = {item["name"] for item in status["upstreams"]
                      if item["up"]}
                if not names <= up:
                    return False
        except (OSError, RuntimeError):
            return False
        return True

    def wait(self, what, condition, timeout=START_TIMEOUT_S):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if condition():
                return
            for process in self.processes():
                if process.child is not None and process.child.poll() not in (
                        None, 0, -signal.SIGKILL):
                    raise RuntimeError(
                        f"{process.name} exited with code "
                        f"{process.child.returncode}; see {process.log}")
            time.sleep(0.05)
        raise RuntimeError(f"not reached within {timeout} s: {what}; "
                           f"logs in {self.path('logs')}")

    def keeper_addresses(self):
        return ",".join(f"{HOST}:{keeper.wire}" for keeper in self.keepers)

    def ringctl(self, *args, check=True):
        result = subprocess.run(
            [self.binary("ringctl"), "--ring", self.shape.ring, "--keepers",
             self.keeper_addresses(), *args],
            capture_output=True, text=True, timeout=60)
        if check and result.returncode != 0:
            raise RuntimeError(f"ringctl {' '.join(args)}: code "
                               f"{result.returncode}: {result.stderr}")
        return result

    # ------------------------------------------------------------- stopping

    def processes(self):
        nodes = self.upstreams + self.entries + self.keepers
        return [node.process for node in nodes
                if node.process is not None] + self.extra

    def stop(self):
        """Stops all processes. Returns "name=code" for each one that did not exit with
        code 0."""
        failed = []
        for nodes in (self.upstreams, self.entries, self.keepers):
            processes = [node.process for node in nodes
                         if node.process is not None and node.process.alive()]
            failed += self._stop_together(processes)
        return failed + self._stop_together(self.extra)

    @staticmethod
    def _stop_together(processes):
        for process in processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        codes = [(process, process.stop()) for process in processes]
        return [f"{process.name}={code}" for process, code in codes
                if code != 0]

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.stop()
        if kind is None and not self.keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are kept in {self.path('logs')}")
        return False
