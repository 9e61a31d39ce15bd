#!/usr/bin/env python3
"""Demo: starts a small ring in three failure domains on loopback, runs one agent
program on it, prints the answers of the processes, and stops the ring."""

import http.client
import json
import sys
import tempfile
import time

from ringlab import HOST, Ring, Shape, get_json, request

RELEASE_LIMIT_S = 10


def say(text):
    print(text, flush=True)


def expect(condition, what):
    if not condition:
        raise RuntimeError("demo check failed: " + what)


def call(entry, path, body, program, sequence, headers=None):
    return request(entry.http, "POST", path, body, {
        "Authorization": "Bearer " + program,
        "Ring-Sequence": str(sequence), **(headers or {})})


def stream(entry, body, program, sequence):
    """Makes a streaming model call. Returns (message, number of chunks)."""
    connection = http.client.HTTPConnection(HOST, entry.http, timeout=30)
    connection.request("POST", "/v1/chat/completions", json.dumps(body), {
        "Authorization": "Bearer " + program,
        "Ring-Sequence": str(sequence)})
    response = connection.getresponse()
    expect(response.status == 200, f"stream answered {response.status}")
    text, chunks, done, message = "", 0, False, {"role": "assistant"}
    for line in response:
        line = line.decode().strip()
        if line == "data: [DONE]":
            done = True
        elif line.startswith("data: "):
            delta = json.loads(line[6:])["choices"][0]["delta"]
            if delta.get("content"):
                chunks += 1
                text += delta["content"]
            if delta.get("tool_calls"):
                message["tool_calls"] = delta["tool_calls"]
    connection.close()
    expect(done, "the stream must end with [DONE]")
    message["content"] = text
    return message, chunks


def apply_note(ring):
    note = {
        "added": [
            {"kind": "model", "name": ring.shape.model, "version": "1"},
            {"kind": "service", "name": ring.shape.service,
             "idempotent": False, "timeout_ms": 5000},
            {"kind": "team", "name": "stores"},
        ],
        "changed": [], "withdrawn": [],
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(note, file)
        file.flush()
        result = ring.ringctl("release", "apply", file.name, "--number", "1",
                              "--operator", "demo")
        say(f"  ringctl release apply: {result.stdout.strip()}")
        again = ring.ringctl("release", "apply", file.name, "--number", "1",
                             "--operator", "demo")
        say(f"  the same note again:   {again.stdout.strip()}")
    result = ring.ringctl("release", "wait", "--version", "1", "--timeout",
                          "11")
    say(f"  ringctl release wait:  {result.stdout.strip()}")


def serve_program(ring):
    first, second, third = ring.entries[:3]
    model = ring.shape.model
    status, _, text = request(first.http, "POST", "/v1/programs", {
        "team": "stores", "budget_tokens": 20000, "deadline_ms": 120000})
    expect(status == 200, f"open answered {status} {text}")
    program = json.loads(text)["program"]
    say(f"  {first.name} opened a program of domain {program.split('.')[0]}")

    messages = [{"role": "user", "content":
                 "Plan a wall of B-7 brackets. answer_tokens=12"}]
    answer, chunks = stream(second, {"model": model, "messages": messages,
                                     "max_tokens": 64, "stream": True},
                            program, 1)
    say(f"  call 1 through {second.name}: {chunks} chunks streamed:"
        f"{answer['content']}")
    messages += [answer, {"role": "user", "content":
                          "Order them. answer_tokens=8\n"
                          "use_tool purchase {\"bracket\": \"B-7\"}"}]

    status, _, text = call(third, "/v1/chat/completions", {
        "model": model, "messages": messages, "max_tokens": 64}, program, 2)
    expect(status == 200, f"call 2 answered {status} {text}")
    body = json.loads(text)
    message = body["choices"][0]["message"]
    tool = message["tool_calls"][0]["function"]
    cached = body["usage"]["prompt_tokens_details"]["cached_tokens"]
    say(f"  call 2 through {third.name}: asks for tool {tool['name']}, "
        f"{cached} of {body['usage']['prompt_tokens']} prompt tokens from cache")
    messages.append(message)

    path = f"/v1/services/{ring.shape.service}/purchase"
    order = {"bracket": "B-7", "count": 12}
    key = {"Idempotency-Key": "order-1"}
    status, _, once = call(first, path, order, program, 3, key)
    expect(status == 200, f"purchase answered {status} {once}")
    status, _, twice = call(second, path, order, program, 3, key)
    expect(once == twice, "the resent purchase must get the recorded answer")
    executions = sum(
        get_json(item.port, "/v1/fake/executions")["by_key"].get("order-1", 0)
        for item in ring.upstreams if item.kind == "service")
    expect(executions == 1,
           f"the purchase must run once, it ran {executions} times")
    say("  call 3, a purchase, sent twice through two entries: ran "
        f"{executions} time, equal answers")

    messages.append({"role": "tool", "content": once})
    status, _, text = call(second, "/v1/chat/completions", {
        "model": model, "messages": messages, "max_tokens": 32}, program, 4)
    expect(status == 200, f"call 4 answered {status} {text}")
    messages.append(json.loads(text)["choices"][0]["message"])
    say("  call 4 with the tool's result: finished")

    status, _, text = call(third, "/v1/chat/completions", {
        "model": model, "messages": messages, "max_tokens": 32}, program, 9)
    say(f"  call 9 out of order: {status} {json.loads(text)['error']}")
    return program, messages


def end_program(ring, program, messages):
    entry = ring.entries[1]
    history = get_json(entry.http, f"/v1/programs/{program}/history")
    expect(history["messages"] == messages,
           "the history must equal the conversation")
    state = get_json(entry.http, f"/v1/programs/{program}")
    say(f"  history: {len(messages)} messages; used "
        f"{state['used_tokens']} of {state['budget_tokens']} tokens")
    held = engines_with_cache(ring, program)
    say(f"  engines that hold cache of the program: {', '.join(held) or 'none'}")
    status, _, text = request(entry.http, "DELETE", f"/v1/programs/{program}")
    expect(status == 200, f"end answered {status} {text}")
    deadline = time.monotonic() + RELEASE_LIMIT_S
    while engines_with_cache(ring, program):
        expect(time.monotonic() < deadline,
               f"the cache must be released within {RELEASE_LIMIT_S} s")
        time.sleep(0.1)
    say("  program ended; all engines have released its cache")
    status, _, text = call(entry, "/v1/chat/completions", {
        "model": ring.shape.model, "messages": messages, "max_tokens": 8},
        program, 5)
    say(f"  a call to the ended program: {status} {json.loads(text)['error']}")


def engines_with_cache(ring, program):
    names = []
    for item in ring.upstreams:
        if item.kind == "engine":
            keys = get_json(item.port, "/v1/fake/keys")
            if keys.get(program, {}).get("held_tokens", 0) > 0:
                names.append(item.name)
    return names


def main():
    started = time.monotonic()
    shape = Shape(ring="demo", engines_per_domain=1, services_per_domain=1,
                  engine_args=["--decode-base-ms", "5"])
    with Ring(shape) as ring:
        say("1. starting 3 keepers, 3 entries, 3 engines, 3 services in "
            f"{', '.join(ring.domains)}")
        ring.start()
        say("  all ready, all upstreams announced")
        say("2. release note")
        apply_note(ring)
        say("3. run a program")
        program, messages = serve_program(ring)
        say("4. end the program")
        end_program(ring, program, messages)
        say("5. status of the ring")
        say(ring.ringctl("status").stdout.rstrip())
        failed = ring.stop()
        expect(not failed, f"all processes must exit with code 0, got {failed}")
        say("6. all processes exited with code 0 after "
            f"{time.monotonic() - started:.1f} s")
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (RuntimeError, OSError, ValueError) as error:
        print(f"demo failed: {error}")
        sys.exit(1)
