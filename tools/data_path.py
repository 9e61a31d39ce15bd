#!/usr/bin/env python3
"""Measures the CPU time of the platform's data path, without the operators'
benchmark.

Starts three keepers and one entry as processes, sends tool calls, turns with few
and with many events, and announcements, and prints the CPU time that the entry
and the keepers use for each. The results depend on the machine; use them to
compare the code before and after a change on the same machine.

  tools/data_path.py --calls 2000
"""

import argparse
import asyncio
import glob
import os
import random
import shutil
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "platform", "soak"))

from soak_ring import Ring  # noqa: E402  (the path is set above)
from world import ENGINES, TOOLS, Caller, Operator, Record, Upstream  # noqa: E402

CALLERS = 8
MANY_EVENTS = 64
ANNOUNCE_S = 5.0


def used_us(processes):
    """Returns the CPU time of all threads of the processes, in microseconds."""
    total_ns = 0
    for process in processes:
        for task in glob.glob(f"/proc/{process.child.pid}/task/*/schedstat"):
            with open(task, encoding="ascii") as file:
                total_ns += int(file.read().split()[0])
    return total_ns / 1000


class Bench:
    def __init__(self, folder):
        self.rng = random.Random(1)
        self.record = Record()
        self.ring = Ring(folder, 3, 1)
        controls = [Ring.address(keeper) for keeper in self.ring.keepers]
        self.upstreams = [Upstream(f"{service}-{i}", service, self.record, self.rng,
                                   controls)
                          for service in (ENGINES, TOOLS) for i in range(4)]
        for upstream in self.upstreams:
            upstream.max_pause_s = 0
        self.operator = Operator(self.record, self.rng, controls)
        self.callers = [Caller(f"caller{i}", self.record, self.rng,
                               [Ring.address(self.ring.entries[0])])
                        for i in range(CALLERS)]

    async def phase(self, name, count, run_once):
        """Runs run_once(caller, i) `count` times over all callers and prints the
        CPU time per run."""
        before = used_us(self.ring.entries), used_us(self.ring.keepers)
        sent = len(self.record.answers)

        async def work(caller):
            for i in range(count // CALLERS):
                await run_once(caller, i)
        await asyncio.gather(*(work(caller) for caller in self.callers))
        entry = (used_us(self.ring.entries) - before[0]) / count
        keepers = (used_us(self.ring.keepers) - before[1]) / count
        failed = sum(1 for answer in self.record.answers[sent:] if answer[3] != 200)
        print(f"{name}: entry {entry:.0f} us, three keepers {keepers:.0f} us together, "
              f"{failed} of {count} failed")
        return entry

    async def turns(self, name, count, events):
        for upstream in self.upstreams:
            upstream.events = events

        async def run_once(caller, i):
            await caller.turn(f"{caller.name}-{name}-{i}", "")
        return await self.phase(f"turn with {events} events", count, run_once)

    async def run(self, calls):
        for upstream in self.upstreams:
            await upstream.start()
        self.ring.start()
        self.operator.version = 1
        while not await self.operator.replace(1):
            await asyncio.sleep(0.1)
        while True:
            status, _ = await self.callers[0].turn("first", "")
            if status == 200:
                break
            await asyncio.sleep(0.1)
        await self.phase("tool call", calls, lambda caller, _: caller.call_tool("safe"))
        few = await self.turns("few", calls // 2, 4)
        many = await self.turns("many", calls // 8, MANY_EVENTS)
        print(f"event: entry {(many - few) / (MANY_EVENTS - 4):.1f} us")
        await self.announcements()
        for upstream in self.upstreams:
            upstream.stop()

    async def announcements(self):
        for upstream in self.upstreams:
            upstream.announce_period_s = 0.005
            upstream.announce_again()
        begin = sum(upstream.sequence for upstream in self.upstreams)
        before = used_us(self.ring.keepers)
        await asyncio.sleep(ANNOUNCE_S)
        sent = sum(upstream.sequence for upstream in self.upstreams) - begin
        used = used_us(self.ring.keepers) - before
        print(f"announcement on its own connection: keeper {used / sent:.0f} us "
              f"({sent} sent, idle time of three keepers included)")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="ring-data-path-")
    bench = Bench(folder)
    try:
        asyncio.run(bench.run(args.calls))
    finally:
        bench.ring.stop()
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
