"""Callers that run agent programs against a ring and record the outcomes.

A caller follows the documented protocol: it resends a call with the same
sequence number until it gets a final answer, and waits between attempts for the
time given in the refusal, up to MAX_PAUSE_S. tools/fault_run.py compares the
records with the state of the ring and the counters of the fake upstreams.
"""

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field

from ringlab import request

# Outcomes of a non-idempotent call.
DONE, NOT_RUN, UNKNOWN = "done", "not_run", "unknown"
MAX_PAUSE_S = 0.5
CALL_LIMIT_S = 60


@dataclass
class Purchase:
    """A non-idempotent call and the outcome that was reported to the caller."""
    tag: str
    outcome: str = UNKNOWN


@dataclass
class Record:
    """One program as seen by its caller."""
    number: str
    program: str = ""
    messages: list = field(default_factory=list)
    used_tokens: int = 0
    purchases: list = field(default_factory=list)
    failed_turns: int = 0
    complete: bool = False
    problems: list = field(default_factory=list)


@dataclass
class Answer:
    status: int
    body: dict

    @property
    def error(self):
        return self.body.get("error", {}) if self.status >= 400 else None


class Caller(threading.Thread):
    """Runs programs one after the other until `over` is set. A program makes model
    calls and purchases with random pauses."""

    def __init__(self, ring, number, seed, turns, budget, over):
        super().__init__(daemon=True)
        self.ring = ring
        self.name = f"caller {number}"
        self.number = number
        self.random = random.Random(f"{seed}/{number}")
        self.turns = turns
        self.budget = budget
        self.over = over
        self.records = []
        self.record = None
        self.sequence = 1
        self.stopped = threading.Event()

    def run(self):
        while not self.over.is_set():
            self.record = Record(f"{self.number}.{len(self.records)}")
            self.records.append(self.record)
            self.sequence = 1
            self.stopped.clear()
            try:
                self._run_program()
            except Exception as error:  # A bug of this script must fail the run.
                self.record.problems.append(f"caller failed: {error!r}")
                return

    def _run_program(self):
        if not self._open():
            return
        for turn in range(self.turns):
            if self.stopped.is_set():
                return
            if self.random.random() < 0.3:
                self._purchase(turn)
            else:
                self._model_call(turn)
            time.sleep(self.random.uniform(0, 0.2))
        self.record.complete = not self.stopped.is_set()

    # ---------------------------------------------------------------- sending

    def _send(self, method, path, body, headers=None):
        """Sends a request to a random entry, like a load balancer. Returns None if
        there was no complete answer."""
        entry = self.random.choice(self.ring.entries)
        try:
            status, _, text = request(entry.http, method, path, body, headers,
                                      timeout=15)
            return Answer(status, json.loads(text))
        except (OSError, http.client.HTTPException, ValueError):
            return None

    def _pause(self, answer):
        after_ms = 100
        if answer is not None and answer.error:
            after_ms = answer.error.get("retry_after_ms") or 100
        time.sleep(min(after_ms / 1000, MAX_PAUSE_S) *
                   self.random.uniform(1, 1.5))

    def _open(self):
        body = {"team": "faults", "budget_tokens": self.budget,
                "deadline_ms": 600000, "idle_limit_ms": 300000}
        deadline = time.monotonic() + CALL_LIMIT_S
        while time.monotonic() < deadline and not self.stopped.is_set():
            answer = self._send("POST", "/v1/programs", body)
            if answer is not None and answer.status == 200:
                self.record.program = answer.body["program"]
                return True
            self._pause(answer)
        self.record.problems.append("could not open a program")
        return False

    def _call(self, path, body, extra):
        """Repeats a call with the same sequence number until the answer is final.
        Returns None after CALL_LIMIT_S without a final answer."""
        headers = {"Authorization": "Bearer " + self.record.program,
                   "Ring-Sequence": str(self.sequence), **extra}
        deadline = time.monotonic() + CALL_LIMIT_S
        while time.monotonic() < deadline:
            answer = self._send("POST", path, body, headers)
            if answer is None:
                self._pause(None)
                continue
            if answer.error is None:
                return answer
            if self._is_final(answer):
                return answer
            self._pause(answer)
        return None

    @staticmethod
    def _is_final(answer):
        reason = answer.error.get("reason")
        if answer.error.get("run_state") == "not_run":
            return reason in ("budget_exceeded", "program_ended",
                              "program_expired", "bad_request",
                              "history_mismatch", "sequence_reuse",
                              "unknown_program", "quarantined")
        # With these reasons the outcome may still get recorded: ask again.
        return reason not in ("lost_ownership", "no_quorum", "stale_epoch",
                              "caller_gone", "owner_unreachable")

    # ------------------------------------------------------------------ calls

    def _model_call(self, turn):
        record = self.record
        user = {"role": "user",
                "content": f"program {record.number} turn {turn} "
                           f"answer_tokens={self.random.randint(3, 60)}"}
        delta = self.random.random() < 0.5
        messages = [user] if delta else record.messages + [user]
        extra = {"Ring-Messages": "delta"} if delta else {}
        answer = self._call("/v1/chat/completions", {
            "model": self.ring.shape.model, "messages": messages,
            "max_tokens": 64, "stream": False}, extra)
        if answer is None:
            record.problems.append(f"turn {turn}: no final answer in time")
            self.stopped.set()
        elif answer.error is None:
            record.messages += [user, answer.body["choices"][0]["message"]]
            record.used_tokens += answer.body["usage"]["completion_tokens"]
            self.sequence += 1
        elif answer.error.get("run_state") == "not_run":
            record.problems.append(f"turn {turn}: {answer.error}")
            self.stopped.set()
        else:
            record.failed_turns += 1
            self.sequence += 1

    def _purchase(self, turn):
        tag = f"p{self.record.number}-t{turn}"
        purchase = Purchase(tag)
        self.record.purchases.append(purchase)
        give_up = self.random.random() < 0.3
        path = f"/v1/services/{self.ring.shape.service}/purchase"
        headers = {"Idempotency-Key": tag}
        if give_up:
            self._purchase_once(purchase, path, headers)
            return
        answer = self._call(path, {"order": tag}, headers)
        self._record_purchase(purchase, answer)
        if answer is None:
            self.record.problems.append(f"turn {turn}: no final answer in time")
            self.stopped.set()

    def _purchase_once(self, purchase, path, headers):
        """Makes a purchase, but gives up if the first answer is a refusal that says
        that it did not run."""
        headers = {"Authorization": "Bearer " + self.record.program,
                   "Ring-Sequence": str(self.sequence), **headers}
        answer = self._send("POST", path, {"order": purchase.tag}, headers)
        if answer is not None and answer.error and (
                answer.error.get("run_state") == "not_run"):
            purchase.outcome = NOT_RUN
            return
        if answer is None or not self._is_final_purchase(answer):
            answer = self._call(path, {"order": purchase.tag},
                                {"Idempotency-Key": purchase.tag})
        self._record_purchase(purchase, answer)

    def _is_final_purchase(self, answer):
        return answer.error is None or self._is_final(answer)

    def _record_purchase(self, purchase, answer):
        if answer is None:
            return
        if answer.error is None:
            purchase.outcome = DONE
            self.sequence += 1
        elif answer.error.get("run_state") == "not_run":
            purchase.outcome = NOT_RUN
        else:
            purchase.outcome = UNKNOWN
            self.sequence += 1
