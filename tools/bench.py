"""Benchmarks each policy at several loads and seeds, and prints a summary.

Each run starts a new ring (or, with --solo, one entry with local stores) and new
fake engines, so that caches and counters start empty. All processes are children
of this script and are stopped by process id, also after an error.
"""

import argparse
import concurrent.futures
import json
import os
import platform
import statistics
import subprocess
import sys
import tempfile
import threading
import time

import ringlab

POLICIES = ["program", "fcfs-least-in-flight", "fcfs-round-robin"]
LOADS = [0.5, 0.8, 1.0, 1.3, 2.0]
MODEL = "bracket-agent"
# Times per token are about a fifth of those of a large model on one accelerator.
ENGINE = {"decode-base-ms": 5, "decode-per-sequence-ms": 1, "max-batch": 8,
          "prefill-tokens-per-ms": 10}
# About what a full batch and its pausing programs need at their full length.
CACHE_TOKENS = {"cascade": 30000, "zarqa": 60000}


ports_lock = threading.Lock()
ports_given = set()
find_free_ports = ringlab.free_ports


def free_ports(count):
    """Returns free ports that were not given to another run of this process."""
    with ports_lock:
        ports = [port for port in find_free_ports(count + len(ports_given))
                 if port not in ports_given][:count]
        ports_given.update(ports)
        return ports


ringlab.free_ports = free_ports


def engine_args(scenario, seed):
    args = [f"--{key}={value}" for key, value in ENGINE.items()]
    return args + [f"--cache-tokens={CACHE_TOKENS[scenario]}",
                   "--threads=256", f"--seed={seed}"]


def load_args(options, run, entries, engines, services, out):
    args = [os.path.join(ringlab.BUILD, "ringload"),
            "--entries", ",".join(entries),
            "--scenario", run["scenario"], "--seed", str(run["seed"]),
            "--load", str(run["load"]), "--policy", run["policy"],
            "--duration-ms", str(options.duration_ms),
            "--deadline-factor", str(options.deadline_factor),
            "--model", MODEL, "--engines", str(options.engines),
            "--engine-stats", ",".join(engines), "--out", out]
    for key, value in ENGINE.items():
        args.append(f"--{key}={value}")
    if services:
        args += ["--service", "orders", "--service-stats", ",".join(services)]
    return args


def address(port):
    return f"{ringlab.HOST}:{port}"


class BenchRing(ringlab.Ring):
    def all_announced(self):
        """True if each entry lists each upstream as up."""
        names = {upstream.name for upstream in self.upstreams}
        try:
            statuses = [ringlab.get_json(entry.admin, "/admin/status")
                        for entry in self.entries]
        except (OSError, RuntimeError):
            return False
        return all(names <= {item["name"] for item in status["upstreams"]
                             if item.get("up") or item.get("state") == "up"}
                   for status in statuses)


def run_ring(options, run, out):
    """Runs the load on a ring of keepers, entries, engines and services."""
    shape = ringlab.Shape(
        ring="bench",
        domains={"salem": "oregon", "medford": "oregon",
                 "tacoma": "oregon"},
        engines_per_domain=options.engines // 3,
        services_per_domain=1, model=MODEL,
        engine_args=engine_args(run["scenario"], run["seed"]),
        # Nested objects, because the settings ignore a key with a dot in its name.
        entry_settings={"policy": {"name": run["policy"]},
                        "http": {"threads": 512, "max_waiting": 512},
                        "calls": {"attempt_threads": 256},
                        **options.entry_settings})
    with BenchRing(shape) as ring:
        ring.start()
        ports = {kind: [address(item.port) for item in ring.upstreams
                        if item.kind == kind]
                 for kind in ("engine", "service")}
        entries = [address(entry.http) for entry in ring.entries]
        subprocess.run(load_args(options, run, entries, ports["engine"],
                                 ports["service"], out),
                       check=True, timeout=options.run_timeout)


def run_solo(options, run, out):
    """Runs the load on a single entry with local stores."""
    ports = ringlab.free_ports(options.engines + 1)
    entry, engines = ports[0], ports[1:]
    processes = []
    with tempfile.TemporaryDirectory(prefix="ring-bench-") as folder:
        def start(name, args):
            process = ringlab.Process(name, args,
                                      os.path.join(folder, name + ".log"))
            process.start()
            processes.append(process)
        try:
            start("entry", [os.path.join(ringlab.BUILD, "ringsolo"),
                            f"--port={entry}", f"--policy={run['policy']}"])
            for number, port in enumerate(engines, 1):
                start(f"engine-{number}",
                      [os.path.join(ringlab.BUILD, "ringfake"),
                       f"--name=engine-{number}", f"--port={port}",
                       "--domain=salem", "--region=oregon",
                       f"--models={MODEL}", f"--entries={address(entry)}",
                       "--leave-grace-ms=0",
                       *engine_args(run["scenario"], run["seed"])])
            time.sleep(1.5)  # The engines announce themselves every second.
            subprocess.run(load_args(options, run, [address(entry)],
                                     [address(port) for port in engines], [],
                                     out),
                           check=True, timeout=options.run_timeout)
        finally:
            for process in reversed(processes):
                process.stop(timeout=5)


def plan_runs(options):
    return [{"scenario": scenario, "load": load, "seed": seed, "policy": policy}
            for scenario in options.scenario
            for load in options.loads
            for seed in range(1, options.seeds + 1)
            for policy in options.policies]


def run_one(options, run, started):
    """Returns (run, file, result), or None if the run failed or was skipped."""
    name = "{scenario}-{load}-{policy}-{seed}.json".format(**run)
    if time.monotonic() - started > options.time_limit:
        print(f"skipped, time limit reached: {name}", file=sys.stderr)
        return None
    out = os.path.join(options.out, name)
    try:
        (run_solo if options.solo else run_ring)(options, run, out)
    except (RuntimeError, subprocess.SubprocessError) as error:
        print(f"run failed: {name}: {error}", file=sys.stderr)
        return None
    with open(out, encoding="utf-8") as file:
        result = json.load(file)
    programs = result["programs"]
    print(f"{name}: in time {programs['in_time']}/{programs['started']} "
          f"p95 {programs['latency_ms']['p95']:.0f} ms", file=sys.stderr)
    return run, out, result


def measure(options):
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        results = pool.map(lambda run: run_one(options, run, started),
                           plan_runs(options))
        return [result for result in results if result is not None]


def metric_values(results, pointer):
    values = []
    for result in results:
        value = result
        for key in pointer.split("/"):
            value = value.get(key, 0) if value else 0
        values.append(value or 0)
    return values


def format_range(values, digits=0):
    mean = statistics.fmean(values)
    if len(values) < 2:
        return f"{mean:.{digits}f}"
    return f"{mean:.{digits}f} ({min(values):.{digits}f}-{max(values):.{digits}f})"


COLUMNS = [("started", "programs/started"), ("in time", "programs/in_time"),
           ("median ms", "programs/latency_ms/median"),
           ("p95 ms", "programs/latency_ms/p95"),
           ("first token p95 ms", "first_token_ms/p95"),
           ("recomputed tokens", "cache/prefill_recomputed_tokens"),
           ("token-s held after end", "cache/held_token_s_after_end"),
           ("wrong answers", "wrong_answers"),
           ("duplicate executions", "cache/duplicate_executions")]


def print_summary(options, results):
    cpu = results[0][2]["machine"]["cpu"] if results else platform.machine()
    kind = "single entry, local stores" if options.solo else "ring with keepers"
    print(f"\n{kind}; {options.engines} engines; {cpu}, {os.cpu_count()} "
          f"cores, {options.parallel} runs at a time; {options.seeds} seeds; "
          "mean (range)\n")
    print("| scenario | load | policy | " +
          " | ".join(name for name, _ in COLUMNS) + " |")
    print("| " + "--- | " * (len(COLUMNS) + 3))
    for scenario in options.scenario:
        for load in options.loads:
            for policy in options.policies:
                group = [result for run, _, result in results
                         if (run["scenario"], run["load"], run["policy"]) ==
                         (scenario, load, policy)]
                if group:
                    cells = [format_range(metric_values(group, pointer))
                             for _, pointer in COLUMNS]
                    print(f"| {scenario} | {load:.0%} | {policy} | " +
                          " | ".join(cells) + " |")


def write_plots(options, results):
    for scenario in options.scenario:
        files = [out for run, out, _ in results
                 if run["scenario"] == scenario]
        if files:
            subprocess.run([os.path.join(ringlab.BUILD, "ringload"), "--plot",
                            os.path.join(options.out, scenario + ".svg"),
                            *files], check=True)


def parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true",
                        help="one scenario, two loads, one seed")
    parser.add_argument("--solo", action="store_true",
                        help="one entry with local stores, no keepers")
    parser.add_argument("--scenario", action="append",
                        choices=sorted(CACHE_TOKENS))
    parser.add_argument("--loads", type=float, nargs="+", default=LOADS)
    parser.add_argument("--policies", nargs="+", default=POLICIES)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--parallel", type=int, default=6,
                        help="number of rings at the same time; their "
                        "processes are mostly idle")
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--duration-ms", type=int, default=10000)
    parser.add_argument("--deadline-factor", type=float, default=4)
    parser.add_argument("--run-timeout", type=int, default=120)
    parser.add_argument("--time-limit", type=int, default=840, help="seconds")
    parser.add_argument("--entry-settings", type=json.loads, default={},
                        help="JSON object merged into the settings of all entries")
    parser.add_argument("--out", default="out")
    options = parser.parse_args()
    options.scenario = options.scenario or ["cascade", "zarqa"]
    if options.quick:
        options.scenario = options.scenario[:1]
        options.loads, options.seeds = [1.0, 2.0], 1
        options.policies = POLICIES[:2]
        options.time_limit = 110
    return options


def main():
    options = parse()
    os.makedirs(options.out, exist_ok=True)
    results = measure(options)
    write_plots(options, results)
    print_summary(options, results)
    return 0 if len(results) == len(plan_runs(options)) else 1


if __name__ == "__main__":
    sys.exit(main())
