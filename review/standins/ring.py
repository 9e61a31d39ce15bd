"""Starts the project's own programs for the cases of the review, with the commands
of the deploy file, on loopback addresses, and ends them again by their ids."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ("salem", "tacoma", "medford")
REGION = {"salem": "oregon", "tacoma": "washington", "medford": "oregon"}
WIRE, METRICS, CONTROL, FRONT, READY = 7380, 7381, 8144, 8149, 8141
HEARTBEAT_MS, GRACE_S = 1200, 8
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, event, /, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


class Process:
    def __init__(self, name, command, settings, folder):
        self.name, self.command, self.settings = name, command, settings
        self.config = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        self.child = None

    def write_settings(self):
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)

    def start(self):
        self.write_settings()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["PERSIMMONRING_CONFIG"] = self.config
        with open(self.log, "ab") as output:
            self.child = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=output,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.alive():
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    @property
    def listen(self):
        ip, port = self.settings["listen"].split(":")
        return ip, int(port)

    @property
    def ready(self):
        ip, port = self.settings["ready_listen"].split(":")
        return ip, int(port)


def free_network():
    """Returns the first three parts of a loopback network whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(64, 190)}.{random.randint(1, 250)}"
        try:
            for host, ports in ((1, (WIRE, METRICS, CONTROL)), (2, (WIRE, CONTROL)),
                                (3, (WIRE, CONTROL)), (101, (FRONT, READY))):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Ring:
    """Keepers and entries of a small deployment."""

    def __init__(self, record, keepers=3, entries=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-ring-")
        self.net = free_network()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        commands = {role["on"]: role["run"].split(" ") for role in roles.values()}
        for command in commands.values():
            if not os.path.exists(os.path.join(ROOT, command[0])):
                raise CannotRun(f"{command[0]} has not been built")
        seeds = [f"{self.net}.{i + 1}:{CONTROL}" for i in range(3)]

        def common(zone):
            return {"domain": zone, "region": REGION[zone],
                    "domains": [{"name": name, "region": REGION[name]}
                                for name in ZONES],
                    "keepers": seeds, "wire_port": WIRE, "metrics_port": METRICS,
                    "grace_s": GRACE_S}
        self.keepers = []
        for i in range(keepers):
            zone = ZONES[i % len(ZONES)]
            self.keepers.append(Process(
                f"store-{zone}-{i // len(ZONES) + 1}", commands["store"],
                {**common(zone), "node": f"store-{zone}-{i // len(ZONES) + 1}",
                 "listen": f"{self.net}.{i + 1}:{CONTROL}", "bootstrap": True,
                 "data_folder": os.path.join(self.folder, f"data-{i + 1}"),
                 "announce_period_ms": HEARTBEAT_MS, "tolerated_losses": 1},
                self.folder))
        self.entries = []
        for i in range(entries):
            zone = ZONES[i % len(ZONES)]
            ip = f"{self.net}.{i + 101}"
            self.entries.append(Process(
                f"front-{zone}-{i // len(ZONES) + 1}", commands["front"],
                {**common(zone), "node": f"front-{zone}-{i // len(ZONES) + 1}",
                 "listen": f"{ip}:{FRONT}", "ready_listen": f"{ip}:{READY}",
                 "memory_mb": 110}, self.folder))

    def server_ip(self, number):
        return f"{self.net}.{200 + number}"

    @property
    def controls(self):
        return [keeper.listen for keeper in self.keepers]

    @property
    def processes(self):
        return self.keepers + self.entries

    def start(self):
        for process in self.processes:
            process.start()

    def end_bootstrap(self):
        """As the platform does after the first start of the whole system."""
        for process in self.keepers:
            process.settings["bootstrap"] = False
            process.write_settings()

    def check_alive(self):
        return [process.name for process in self.processes if not process.alive()]

    def stop(self):
        for process in self.processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        for process in self.processes:
            while process.alive() and time.monotonic() < deadline:
                time.sleep(0.05)
            process.kill()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, run, limit_s=105, **ring_options):
    """Runs a case. `run(ring, record, trouble)` returns the list of broken rules as
    texts. Ends the process with the exit code that the review asks for."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(case_file))
    record = Record(os.path.join(folder, "record.txt"))
    record.add("start", trouble=int(trouble))
    ring = None
    code = NOT_RUN
    try:
        ring = Ring(record, **ring_options)
        ring.start()
        broken = asyncio.run(asyncio.wait_for(run(ring, record, trouble), limit_s))
        dead = ring.check_alive()
        if dead:
            record.add("note", ended_by_themselves=",".join(dead))
        for text in broken:
            record.add("BROKEN", text=text)
            print(f"BROKEN {text}")
        code = BROKEN if broken else HELD
    except Exception as error:  # Anything unexpected says nothing about the rule.
        record.add("cannot_run", error=f"{type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
    finally:
        if ring is not None:
            ring.stop()
    record.add("end", exit_code=code)
    print(f"exit code {code}")
    sys.exit(code)
