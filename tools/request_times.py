#!/usr/bin/env python3
"""Shows where the time of requests goes, from the log lines of entries.

Reads `request` events (docs/metrics.md) and prints, for each window of time,
how many requests ended, how many were refused or broken off and for what
reason, and the mean time spent in each phase:

  log       until the state group had answered (begun_ms)
  retry     from there to the last send (sent_ms)
  upstream  from the send to the head of the response (head_ms)
  response  from the head to the end (took_ms)

With --svg the phases are also drawn as stacked bars.
"""

import argparse
import collections
import datetime
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
TIME = re.compile(r"\d{4}-\d\d-\d\dT[\d:.]+Z")
PHASES = ("log", "retry", "upstream", "response")
COLORS = ("#4e79a7", "#e15759", "#f28e2b", "#bab0ac")


def parse_lines(lines):
    """Yields (unix seconds, fields) of each `request` event."""
    for line in lines:
        if " event=request " not in line:
            continue
        stamp = TIME.search(line)
        if stamp is None:
            continue
        at = datetime.datetime.fromisoformat(stamp.group()[:-1] + "+00:00")
        yield at.timestamp(), dict(FIELD.findall(line))


def split_phases(fields):
    """Returns the time of each phase in ms."""
    begun, sent, head, took = (
        int(fields.get(name, 0))
        for name in ("begun_ms", "sent_ms", "head_ms", "took_ms"))
    sent = max(sent, begun)
    head = max(head, sent) if head > 0 else took
    return (begun, sent - begun, head - sent, max(took - head, 0))


def collect(lines, route, window_s):
    """Returns {window: (requests, failures by reason, ms by phase)}."""
    windows = {}
    start = None
    for at, fields in parse_lines(lines):
        if route and fields.get("route") != route:
            continue
        start = at if start is None else start
        key = int((at - start) // window_s)
        count, reasons, times = windows.setdefault(
            key, ([0], collections.Counter(), [0] * len(PHASES)))
        count[0] += 1
        if fields.get("outcome") != "answered":
            reasons[fields.get("reason", "unknown")] += 1
        for i, ms in enumerate(split_phases(fields)):
            times[i] += ms
    return windows


def print_table(windows, window_s):
    print("from s", "requests", *(f"{name} ms" for name in PHASES), "not answered",
          sep="\t")
    for key in sorted(windows):
        (count,), reasons, times = windows[key]
        failed = ", ".join(f"{name} {n}" for name, n in reasons.most_common())
        print(key * window_s, count, *(round(ms / count, 1) for ms in times),
              failed or "-", sep="\t")


def draw(windows, window_s, path):
    """Writes stacked bars of the mean time of each phase as SVG."""
    height, bar, left = 240, 14, 40
    means = {key: [ms / w[0][0] for ms in w[2]] for key, w in windows.items()}
    top = max((sum(m) for m in means.values()), default=1) or 1
    width = left + bar * (max(means, default=0) + 2)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
             f'height="{height + 50}" font-family="sans-serif" font-size="10">']
    for key, times in sorted(means.items()):
        y = height
        for ms, color in zip(times, COLORS):
            size = ms / top * (height - 20)
            y -= size
            parts.append(f'<rect x="{left + bar * key}" y="{y:.1f}" '
                         f'width="{bar - 2}" height="{size:.1f}" fill="{color}"/>')
        if key % 5 == 0:
            parts.append(f'<text x="{left + bar * key}" y="{height + 14}">'
                         f"{key * window_s}</text>")
    for i, (name, color) in enumerate(zip(PHASES, COLORS)):
        parts.append(f'<text x="{left + 80 * i}" y="{height + 36}" '
                     f'fill="{color}">{name}</text>')
    parts.append(f'<text x="2" y="20">{top:.0f} ms</text></svg>')
    with open(path, "w", encoding="utf-8") as out:
        out.write("\n".join(parts) + "\n")


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="*", help="log files; none: standard input")
    parser.add_argument("--route", default="", help="only requests of this route")
    parser.add_argument("--window", type=float, default=2, metavar="SECONDS")
    parser.add_argument("--svg", metavar="FILE")
    args = parser.parse_args()
    lines = []
    for name in args.logs:
        with open(name, encoding="utf-8", errors="replace") as log:
            lines.extend(log)
    lines = lines or list(sys.stdin)
    lines = sorted((line for line in lines if TIME.search(line)),
                   key=lambda line: TIME.search(line).group())
    windows = collect(lines, args.route, args.window)
    print_table(windows, args.window)
    if args.svg:
        draw(windows, args.window, args.svg)


if __name__ == "__main__":
    main()
