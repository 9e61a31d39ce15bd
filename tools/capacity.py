#!/usr/bin/env python3
"""Measures the resource costs per node, program and call that docs/CAPACITY.md
uses, on rings of processes on loopback. Prints Markdown tables.

  tools/capacity.sh            all parts, about 4 minutes
  tools/capacity.sh --part memory
"""

import argparse
import concurrent.futures
import json
import os
import sys
import time

from ringlab import Ring, Shape, request

IDLE_S = 12
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def cpu_s(process):
    """Returns the CPU time of a child process so far, in seconds."""
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_kb(process):
    with open(f"/proc/{process.child.pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_KB


def wire_bytes(port):
    """Returns the bytes sent and received by class, from /metrics."""
    totals = {}
    text = request(port, "GET", "/metrics")[2]
    for line in text.splitlines():
        if line.startswith("ring_wire_bytes_total{"):
            name = line.split('class="')[1].split('"')[0]
            totals[name] = totals.get(name, 0) + float(line.rsplit(" ", 1)[1])
    return totals


class Usage:
    """Resource usage of all processes of one role since the constructor."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.start_s = time.monotonic()
        self.cpu = [cpu_s(node.process) for node in nodes]
        self.bytes = [wire_bytes(node.metrics) for node in nodes]

    def end(self):
        seconds = time.monotonic() - self.start_s
        count = len(self.nodes)
        cpu = sum(cpu_s(node.process) for node in self.nodes) - sum(self.cpu)
        rss = sum(rss_kb(node.process) for node in self.nodes)
        classes = {}
        for node, before in zip(self.nodes, self.bytes):
            for name, value in wire_bytes(node.metrics).items():
                classes[name] = classes.get(name, 0) + (
                    value - before.get(name, 0))
        return {"cpu_percent": 100 * cpu / seconds / count, "cpu_s": cpu,
                "rss_mb": rss / 1024 / count,
                "bytes_s": {name: value / seconds / count
                            for name, value in sorted(classes.items())},
                "bytes": classes}


def slope(points):
    """Fits a line to (x, y) points by least squares. Returns (intercept, slope)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares_x
    return mean_y - gradient * mean_x, gradient


def show_slope(name, points, unit):
    base, gradient = slope(points)
    print(f"- {name}: {base:.3f} + {gradient:.5f} x {unit}", flush=True)


def row(*cells):
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)


def header(*cells):
    row(*cells)
    row(*["---"] * len(cells))


def class_text(classes):
    return ", ".join(f"{name} {value:.0f}" for name, value in classes.items()
                     if value >= 1)


def idle_shape(entries, engines):
    return Shape(ring="capacity", entries_per_domain=entries,
                 engines_per_domain=engines, services_per_domain=0)


def measure_idle(entries, engines):
    with Ring(idle_shape(entries, engines)) as ring:
        ring.start()
        time.sleep(3)
        entry_usage, keeper_usage = Usage(ring.entries), Usage(ring.keepers)
        time.sleep(IDLE_S)
        entry, keeper = entry_usage.end(), keeper_usage.end()
        ring.stop()
    return entry, keeper


def idle_part():
    """Measures the cost of idle nodes by number of entries and engines."""
    print("\n## Idle nodes\n")
    header("entries", "engines", "entry CPU % of a core", "entry MB",
           "entry bytes/s by class", "keeper CPU %", "keeper MB",
           "keeper bytes/s by class")
    by_entries, by_engines = [], []
    for entries, engines in ((1, 2), (2, 2), (4, 2), (8, 2), (2, 8), (2, 16)):
        entry, keeper = measure_idle(entries, engines)
        row(3 * entries, 3 * engines, f"{entry['cpu_percent']:.2f}",
            f"{entry['rss_mb']:.1f}", class_text(entry["bytes_s"]),
            f"{keeper['cpu_percent']:.2f}", f"{keeper['rss_mb']:.1f}",
            class_text(keeper["bytes_s"]))
        point = (entry["cpu_percent"], sum(entry["bytes_s"].values()),
                 entry["rss_mb"], keeper["cpu_percent"],
                 sum(keeper["bytes_s"].values()))
        if engines == 2:
            by_entries.append((3 * entries, point))
        if entries == 2:
            by_engines.append((3 * engines, point))
    print()
    names = ["entry CPU %", "entry bytes/s", "entry MB", "keeper CPU %",
             "keeper bytes/s"]
    for index, name in enumerate(names):
        show_slope(f"{name} by entries",
                   [(x, y[index]) for x, y in by_entries], "entries")
        show_slope(f"{name} by engines",
                   [(x, y[index]) for x, y in by_engines], "engines")


def open_program(ring, number):
    entry = ring.entries[number % len(ring.entries)]
    status, _, text = request(entry.http, "POST", "/v1/programs", {
        "team": "capacity", "budget_tokens": 1000000, "deadline_ms": 3600000,
        "idle_limit_ms": 3600000})
    if status != 200:
        raise RuntimeError(f"cannot open a program: {status} {text}")
    return entry, json.loads(text)["program"]


def model_call(ring, entry, program, sequence, text, max_tokens):
    for _ in range(50):
        status, _, answer = request(
            entry.http, "POST", "/v1/chat/completions", {
                "model": ring.shape.model, "max_tokens": max_tokens,
                "messages": [{"role": "user", "content": text}]},
            {"Authorization": "Bearer " + program, "Ring-Messages": "delta",
             "Ring-Sequence": str(sequence)}, timeout=60)
        if status == 200:
            return
        time.sleep(min(1, json.loads(answer)["error"]["retry_after_ms"] / 1e3))
    raise RuntimeError(f"model call failed: {status} {answer}")


FAST_ENGINE = ["--prefill-tokens-per-ms", "1000", "--decode-base-ms", "0.2",
               "--decode-per-sequence-ms", "0.01", "--cache-tokens",
               "100000000", "--max-batch", "64"]


def memory_part():
    """Measures the memory of keepers and entries by programs and history size."""
    print("\n## Memory by programs\n")
    header("programs", "history KB per program", "entry MB", "keeper MB",
           "keeper data folder MB")
    for history_kb in (4, 32):
        entry_points, keeper_points = [], []
        shape = Shape(ring="capacity", engine_args=FAST_ENGINE)
        with Ring(shape) as ring:
            ring.start()
            made = 0
            for count in (0, 300, 600, 900):
                with concurrent.futures.ThreadPoolExecutor(12) as pool:
                    list(pool.map(lambda n: model_call(
                        ring, *open_program(ring, n), 1,
                        "x" * (history_kb * 1024), 8), range(made, count)))
                made = count
                time.sleep(1)
                entry = sum(rss_kb(e.process) for e in ring.entries) / 3072
                keeper = sum(rss_kb(k.process) for k in ring.keepers) / 3072
                row(count, history_kb, f"{entry:.1f}", f"{keeper:.1f}",
                    f"{folder_mb(ring.path('data')) / 3:.1f}")
                entry_points.append((count, 1024 * entry))
                keeper_points.append((count, 1024 * keeper))
            ring.stop()
        print()
        show_slope(f"entry KB, {history_kb} KB of history",
                   entry_points, "programs in the ring")
        show_slope(f"keeper KB, {history_kb} KB of history",
                   keeper_points, "programs in the ring")
        print()


def folder_mb(folder):
    total = 0
    for path, _, names in os.walk(folder):
        total += sum(os.path.getsize(os.path.join(path, name))
                     for name in names)
    return total / 1024 / 1024


def call_part():
    """Measures CPU time and bytes per call of a program."""
    print("\n## Cost of calls\n")
    header("calls", "calls/s", "entry CPU ms per call", "keeper CPU ms per call",
           "keeper bytes per call by class")
    entry_points, keeper_points = [], []
    shape = Shape(ring="capacity", engine_args=FAST_ENGINE)
    with Ring(shape) as ring:
        ring.start()
        programs = [open_program(ring, number) for number in range(24)]
        sequence = 0
        for turns in (10, 20, 40):
            entries, keepers = Usage(ring.entries), Usage(ring.keepers)
            started = time.monotonic()

            def run(program, first=sequence, count=turns):
                for turn in range(first + 1, first + count + 1):
                    model_call(ring, *program, turn, "y" * 400, 32)

            with concurrent.futures.ThreadPoolExecutor(24) as pool:
                list(pool.map(run, programs))
            seconds = time.monotonic() - started
            sequence += turns
            calls = turns * len(programs)
            entry, keeper = entries.end(), keepers.end()
            row(calls, f"{calls / seconds:.0f}",
                f"{1000 * entry['cpu_s'] / calls:.2f}",
                f"{1000 * keeper['cpu_s'] / calls:.2f}",
                class_text({name: value / calls
                            for name, value in keeper["bytes"].items()}))
            entry_points.append((calls, entry["cpu_s"]))
            keeper_points.append((calls, keeper["cpu_s"]))
        ring.stop()
    print()
    show_slope("CPU s of all entries", entry_points, "calls")
    show_slope("CPU s of all keepers", keeper_points, "calls")


def note_part():
    """Measures the time until a release note is in force on all entries."""
    print("\n## Release notes\n")
    header("entries", "notes", "time until in force on all entries, ms: median",
           "maximum")
    for entries in (1, 4, 8):
        with Ring(idle_shape(entries, 0)) as ring:
            ring.start()
            times = []
            for number in range(1, 16):
                times.append(apply_note(ring, number))
            ring.stop()
        times.sort()
        row(3 * entries, len(times), f"{times[len(times) // 2]:.0f}",
            f"{times[-1]:.0f}")


def apply_note(ring, number):
    change = "added" if number == 1 else "changed"
    file = ring.path("note.json")
    with open(file, "w", encoding="utf-8") as note:
        json.dump({change: [{"kind": "limit", "name": "probe",
                             "value": number}]}, note)
    ring.ringctl("release", "apply", file, "--number", str(number),
                 "--operator", "capacity")
    started = time.monotonic()
    waiting = list(ring.entries)
    while waiting:
        waiting = [entry for entry in waiting if json.loads(
            request(entry.admin, "GET", "/admin/status")[2])
            ["control_version"] < number]
    return 1000 * (time.monotonic() - started)


def main():
    parts = {"idle": idle_part, "memory": memory_part, "calls": call_part,
             "notes": note_part}
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--part", choices=sorted(parts))
    args = parser.parse_args()
    for name, part in parts.items():
        if args.part in (None, name):
            part()
    return 0


if __name__ == "__main__":
    sys.exit(main())
