#!/usr/bin/env python3
"""Fault injection test with processes.

Starts a ring of processes on loopback, runs agent programs on it, injects seeded
faults (killed and frozen processes, wiped data folders, cut links, engines that
crash or leave, concurrent operators), and then checks the guarantees of
docs/design.md. The same seed gives the same programs and the same faults; their
relative timing depends on the machine.

  tools/fault_run.py --seed 1 --seconds 40
"""

import argparse
import json
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

import ringlab
from ringcaller import DONE, NOT_RUN, Caller
from ringlab import HOST, Ring, Shape, get_json, request

CONFIG_LIMIT_S = 11   # Until a release note is in force on all entries.
LEAVING_LIMIT_S = 3   # Until a leaving upstream gets no new work.
RELEASE_LIMIT_S = 20  # Until cache of ended programs is free, all processes up.
MAX_CRASHED_ENGINES = 2  # By one request, before all entries refuse it.
BUDGET_TOKENS = 8000
TURNS = 14


class Links:
    """Relays on all connections to keepers that cross the border of one domain."""

    def __init__(self, ring, domain):
        self.relays = []  # (name, control port)
        inside = [node for node in ring.keepers + ring.entries
                  if node.domain == domain]
        pairs = [(origin, target) for origin in ring.keepers + ring.entries
                 for target in ring.keepers
                 if origin is not target and (origin in inside) !=
                 (target in inside)]
        ports = ringlab.free_ports(2 * len(pairs))
        for origin, target in pairs:
            listen, control = ports.pop(), ports.pop()
            name = f"link-{origin.name}-{target.name}"
            process = ring._process(name, [
                ring.binary("ringlink"), "--listen", f"{HOST}:{listen}",
                "--target", f"{HOST}:{target.wire}",
                "--control-port", str(control)])
            process.start()
            ring.extra.append(process)
            ring.routes[(origin.name, target.name)] = listen
            self.relays.append(control)

    def command(self, path):
        for control in self.relays:
            request(control, "POST", path, timeout=5)


class Operators(threading.Thread):
    """Applies release notes during the faults. For some note numbers, two operators
    race; a request whose answer was lost is resent."""

    def __init__(self, ring, seed):
        super().__init__(daemon=True)
        self.ring = ring
        self.random = random.Random(f"{seed}/operators")
        self.stopping = threading.Event()
        self.accepted = {}  # Note number -> (operator, digest).
        self.conflicts = 0
        self.problems = []

    def run(self):
        number = 1
        while not self.stopping.wait(1.0):
            racing = self.random.random() < 0.5
            names = ["north", "south"] if racing else ["north"]
            threads = [threading.Thread(target=self._apply, args=(number, name))
                       for name in names]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            if number in self.accepted:
                number += 1

    def _apply(self, number, name):
        change = "added" if number == 1 else "changed"
        body = {change: [{"kind": "limit", "name": "probe", "value": number,
                          "by": name}]}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as note:
            json.dump(body, note)
            note.flush()
            for _ in range(20):
                result = self.ring.ringctl(
                    "--json", "release", "apply", note.name, "--number",
                    str(number), "--operator", name, check=False)
                if result.returncode == 0:
                    self._accept(number, name, json.loads(result.stdout))
                    return
                if "conflict" in result.stderr:
                    self.conflicts += 1
                    return
                if "bad_request" in result.stderr:
                    self.problems.append(result.stderr.strip())
                    return
                time.sleep(0.3)

    def _accept(self, number, name, answer):
        held = self.accepted.setdefault(number, (name, answer["digest"]))
        if held != (name, answer["digest"]):
            self.problems.append(f"note {number} accepted twice: {held} and "
                                 f"{(name, answer['digest'])}")


class VersionWatch(threading.Thread):
    """Checks that the control version of an entry never decreases while its process
    runs."""

    def __init__(self, ring):
        super().__init__(daemon=True)
        self.ring = ring
        self.stopping = threading.Event()
        self.highest = {}
        self.problems = []

    def run(self):
        while not self.stopping.wait(0.25):
            for entry in self.ring.entries:
                try:
                    status = get_json(entry.admin, "/admin/status", timeout=1)
                except (OSError, RuntimeError, ValueError):
                    continue
                version = status["control_version"]
                key = (entry.name, entry.process.child.pid)
                if version < self.highest.get(key, 0):
                    self.problems.append(
                        f"{entry.name} decreased its control version from "
                        f"{self.highest[key]} to {version}")
                self.highest[key] = max(version, self.highest.get(key, 0))


class Faults:
    """Injects seeded faults. At most one keeper is down at a time, so that each
    group keeps a majority; kill_entry_and_keeper stops an entry as well."""

    def __init__(self, ring, links, seed, log):
        self.ring = ring
        self.links = links
        self.random = random.Random(f"{seed}/faults")
        self.log = log
        self.next_replica = 100
        self.wiped = 0
        self.counts = {}
        self.crash_request_count = 0
        self.problems = []

    def run(self, seconds):
        end = time.monotonic() + seconds
        kinds = [self.kill_entry, self.freeze_entry, self.kill_keeper,
                 self.freeze_keeper, self.wipe_keeper, self.cut_domain,
                 self.kill_engine, self.leave_engine, self.restart_entry,
                 self.kill_entry_and_keeper, self.killer_request]
        remaining_kinds = []
        while time.monotonic() < end:
            if not remaining_kinds:
                remaining_kinds = self.random.sample(kinds, len(kinds))
            fault = remaining_kinds.pop()
            name = fault.__name__
            self.counts[name] = self.counts.get(name, 0) + 1
            fault()
            time.sleep(self.random.uniform(0.2, 1.0))

    def _keepers_ready(self):
        self.ring.wait("keepers are ready again", lambda: all(
            self.ring.is_ready(keeper.health) for keeper in self.ring.keepers),
            timeout=30)

    def kill_entry(self):
        entry = self.random.choice(self.ring.entries)
        self.log(f"kill {entry.name}")
        entry.process.kill()
        time.sleep(self.random.uniform(0.1, 1.5))
        self.ring.start_entry(entry)

    def freeze_entry(self):
        entry = self.random.choice(self.ring.entries)
        pause = self.random.uniform(2.5, 5.0)
        self.log(f"freeze {entry.name} for {pause:.1f} s")
        entry.process.send(signal.SIGSTOP)
        time.sleep(pause)
        entry.process.send(signal.SIGCONT)

    def restart_entry(self):
        entry = self.random.choice(self.ring.entries)
        self.log(f"graceful restart of {entry.name}")
        code = entry.process.stop()
        if code != 0:
            raise RuntimeError(f"{entry.name} exited with {code} after SIGTERM")
        self.ring.start_entry(entry)

    def kill_keeper(self):
        keeper = self.random.choice(self.ring.keepers)
        self.log(f"kill {keeper.name}")
        keeper.process.kill()
        time.sleep(self.random.uniform(0.2, 2.0))
        self.ring.start_keeper(keeper)
        self._keepers_ready()

    def freeze_keeper(self):
        keeper = self.random.choice(self.ring.keepers)
        pause = self.random.uniform(2.0, 4.0)
        self.log(f"freeze {keeper.name} for {pause:.1f} s")
        keeper.process.send(signal.SIGSTOP)
        time.sleep(pause)
        keeper.process.send(signal.SIGCONT)
        self._keepers_ready()

    def kill_entry_and_keeper(self):
        entry = self.random.choice(self.ring.entries)
        keeper = self.random.choice(self.ring.keepers)
        self.log(f"kill {entry.name} and {keeper.name} at once")
        entry.process.kill()
        keeper.process.kill()
        time.sleep(self.random.uniform(0.2, 1.0))
        self.ring.start_keeper(keeper)
        self.ring.start_entry(entry)
        self._keepers_ready()

    def cut_domain(self):
        pause = self.random.uniform(2.0, 5.0)
        self.log(f"cut the last domain's keeper links for {pause:.1f} s")
        self.links.command("/cut")
        time.sleep(pause)
        self.links.command("/heal")
        self._keepers_ready()

    def wipe_keeper(self):
        """Simulates the loss of a keeper's disk and the repair: the old replicas are
        removed, new replicas with new ids join and catch up."""
        keeper = self.random.choice(self.ring.keepers)
        self.log(f"wipe the data of {keeper.name} and replace its replicas")
        keeper.process.kill()
        self.ring.replace_replicas(keeper, self.next_replica)
        self.next_replica += 1
        self.wiped += 1
        self._keepers_ready()

    def kill_engine(self):
        engine = self._engine()
        self.log(f"kill {engine.name}")
        engine.process.kill()
        time.sleep(self.random.uniform(0.2, 1.0))
        self.ring.start_upstream(engine)

    def leave_engine(self):
        engine = self._engine()
        self.log(f"graceful stop of {engine.name}")
        engine.process.stop()
        self.ring.start_upstream(engine)

    def killer_request(self):
        """Sends a request that crashes each engine that runs it, three times, each
        time in a new program. It may crash at most MAX_CRASHED_ENGINES."""
        self.crash_request_count += 1
        text = f"killer-{self.crash_request_count}-end"
        engines = [item for item in self.ring.upstreams
                   if item.kind == "engine"]
        crashed = 0
        answers = []
        for attempt in range(3):
            self.ring.wait("upstreams are announced", self.ring.all_announced)
            for engine in engines:
                self._set_crash_text(engine, text)
            entry = self.ring.entries[attempt % len(self.ring.entries)]
            answers.append(self._send_crash_request(entry, text))
            for engine in engines:
                if not engine.process.alive():
                    crashed += 1
                    self.ring.start_upstream(engine)
        self.log(f"a request that crashes engines crashed {crashed}; "
                 f"answers {answers}")
        if crashed > MAX_CRASHED_ENGINES:
            self.problems.append(f"one request crashed {crashed} engines")

    def _set_crash_text(self, engine, text):
        """Makes an engine crash on a text. Waits until the engine has started."""
        def armed():
            try:
                return request(engine.port, "POST", "/v1/fake/fault", {
                    "kind": "crash_on_text", "text": text})[0] == 200
            except OSError:
                return False
        self.ring.wait(f"{engine.name} answers", armed)

    def _send_crash_request(self, entry, text):
        try:
            _, _, opened = request(entry.http, "POST", "/v1/programs", {
                "team": "faults", "budget_tokens": 1000, "deadline_ms": 60000})
            program = json.loads(opened)["program"]
            status, _, body = request(
                entry.http, "POST", "/v1/chat/completions", {
                    "model": self.ring.shape.model, "max_tokens": 8,
                    "messages": [{"role": "user", "content": text}]},
                {"Authorization": "Bearer " + program, "Ring-Sequence": "1"})
            request(entry.http, "DELETE", f"/v1/programs/{program}")
            return json.loads(body).get("error", {}).get("reason", status)
        except (OSError, KeyError, ValueError) as error:
            return repr(error)

    def _engine(self):
        return self.random.choice(
            [item for item in self.ring.upstreams if item.kind == "engine"])


# --------------------------------------------------------------------- checks


def records_of(callers):
    return [record for caller in callers for record in caller.records]


def check_programs(ring, callers):
    problems = []
    for record in records_of(callers):
        name = f"program {record.number}"
        problems += [f"{name}: {text}" for text in record.problems]
        if not record.program:
            continue
        status, _, text = request(ring.entries[0].http, "GET",
                                  f"/v1/programs/{record.program}/history")
        if status != 200:
            problems.append(f"{name}: reading the history failed: {status} "
                            f"{text[:200]}")
            continue
        stored = json.loads(text)["messages"]
        if stored != record.messages:
            problems.append(f"{name}: history has {len(stored)} messages, its "
                            f"caller has {len(record.messages)}")
        state = get_json(ring.entries[0].http,
                         f"/v1/programs/{record.program}")
        if not record.used_tokens <= state["used_tokens"] <= BUDGET_TOKENS:
            problems.append(f"{name}: used {state['used_tokens']}, caller saw "
                            f"{record.used_tokens}, budget {BUDGET_TOKENS}")
    return problems


def check_purchases(ring, callers):
    executed = {}
    for item in ring.upstreams:
        if item.kind == "service":
            counts = get_json(item.port, "/v1/fake/executions")["by_key"]
            for tag, count in counts.items():
                executed[tag] = executed.get(tag, 0) + count
    problems = []
    seen = {}
    for record in records_of(callers):
        for purchase in record.purchases:
            count = executed.get(purchase.tag, 0)
            seen[purchase.outcome] = seen.get(purchase.outcome, 0) + 1
            expected = {DONE: (1,), NOT_RUN: (0,)}.get(purchase.outcome, (0, 1))
            if count not in expected:
                problems.append(f"purchase {purchase.tag}: outcome "
                                f"{purchase.outcome}, executed {count} times")
    return problems, seen


def check_answers(ring, callers, limit=200):
    """Sends the same conversations directly to an engine. The answer of a fake
    engine depends only on the messages, so a mixed-up or truncated answer
    differs."""
    engine = next(item for item in ring.upstreams
                  if item.kind == "engine" and item.process.alive())
    problems = []
    checked = 0
    for record in records_of(callers):
        messages = record.messages
        for end in range(1, len(messages), 2):
            if checked >= limit:
                return problems, checked
            status, _, text = request(engine.port, "POST",
                                      "/v1/chat/completions", {
                                          "model": ring.shape.model,
                                          "messages": messages[:end],
                                          "max_tokens": 64, "stream": True})
            if status != 200:
                problems.append(f"direct model call failed: {status}")
                continue
            expected = ""
            for line in text.splitlines():
                if line.startswith("data: {"):
                    for choice in json.loads(line[6:]).get("choices", []):
                        expected += choice.get("delta", {}).get("content") or ""
            checked += 1
            if expected != messages[end]["content"]:
                problems.append(f"program {record.number} message {end} "
                                "is not the answer to the messages before it")
    return problems, checked


def check_release(ring, callers):
    """Ends all programs and checks that all engines free their cache."""
    problems = []
    ended = set()
    for record in records_of(callers):
        program = record.program
        if not program:
            continue
        status, _, text = request(ring.entries[-1].http, "DELETE",
                                  f"/v1/programs/{program}")
        if status != 200:
            problems.append(f"ending a program failed: {status} {text[:200]}")
        ended.add(program)
    deadline = time.monotonic() + RELEASE_LIMIT_S
    held = {}
    while time.monotonic() < deadline:
        held = {}
        for item in ring.upstreams:
            if item.kind == "engine":
                keys = get_json(item.port, "/v1/fake/keys")
                names = {key for key, memory in keys.items()
                         if memory["held_tokens"] > 0}
                for key in names & ended:
                    held.setdefault(item.name, []).append(key[:16])
        if not held:
            return problems
        time.sleep(0.5)
    return problems + [f"engines still hold cache of ended programs: {held}"]


def check_config(ring, operators):
    problems = list(operators.problems)
    if not operators.accepted:
        return problems + ["no release note was accepted"]
    wanted = max(operators.accepted)
    deadline = time.monotonic() + CONFIG_LIMIT_S
    versions = {}
    while time.monotonic() < deadline:
        versions = {entry.name: get_json(entry.admin, "/admin/status")
                    ["control_version"] for entry in ring.entries}
        if all(version >= wanted for version in versions.values()):
            return problems
        time.sleep(0.2)
    return problems + [f"note {wanted} not in force after {CONFIG_LIMIT_S} s: "
                       f"{versions}"]


def run(args):
    started = time.monotonic()

    def log(text):
        print(f"[{time.monotonic() - started:6.1f}] {text}", flush=True)

    shape = Shape(ring="faults", engines_per_domain=2, services_per_domain=1,
                  engine_args=["--decode-base-ms", "6",
                               "--answer-tokens-max", "64"],
                  service_args=["--delay-ms", "60"])
    log(f"seed {args.seed}, {args.programs} programs, {args.seconds} s")
    with Ring(shape, keep=args.keep) as ring:
        links = Links(ring, ring.domains[-1])
        ring.start()
        log("ring has started")
        operators = Operators(ring, args.seed)
        watch = VersionWatch(ring)
        over = threading.Event()
        callers = [Caller(ring, number, args.seed, args.turns, BUDGET_TOKENS,
                          over)
                   for number in range(args.programs)]
        for thread in [operators, watch] + callers:
            thread.start()
        faults = Faults(ring, links, args.seed, log)
        faults.run(args.seconds)
        log("no more faults; waiting for the callers")
        over.set()
        ring.wait("entries are ready", lambda: all(
            ring.is_ready(entry.admin) for entry in ring.entries))
        ring.wait("upstreams are announced", ring.all_announced)
        for caller in callers:
            caller.join(150)
            if caller.is_alive():
                caller.record.problems.append("caller did not finish in time")
        records = records_of(callers)
        operators.stopping.set()
        operators.join()
        problems = check_config(ring, operators)
        watch.stopping.set()
        watch.join()
        problems += watch.problems
        problems += check_programs(ring, callers)
        purchases, outcomes = check_purchases(ring, callers)
        answers, checked = check_answers(ring, callers)
        problems += purchases + answers + check_release(ring, callers)
        failed = ring.stop()
        problems += [f"exit code {item}" for item in failed]
        problems += faults.problems
        complete = sum(record.complete for record in records)
        turns = sum(len(record.messages) // 2 for record in records)
        log(f"faults {faults.counts}")
        log(f"programs complete {complete} of {len(records)}, model turns "
            f"{turns}, failed turns "
            f"{sum(record.failed_turns for record in records)}, purchases "
            f"{outcomes}, answers compared {checked}, notes "
            f"{len(operators.accepted)}, conflicts {operators.conflicts}")
        for problem in problems:
            log("PROBLEM " + problem)
        if problems:
            ring.keep = True
        log("FAILED" if problems else "PASSED")
        return 1 if problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--programs", type=int, default=16)
    parser.add_argument("--turns", type=int, default=TURNS)
    parser.add_argument("--keep", action="store_true",
                        help="keep settings, data and logs")
    args = parser.parse_args()
    try:
        return run(args)
    except (RuntimeError, OSError, subprocess.SubprocessError) as error:
        print(f"FAILED seed {args.seed}: {error}")
        return 1


if __name__ == "__main__":
    sys.exit(main())
