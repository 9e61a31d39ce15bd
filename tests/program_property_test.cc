#include <map>
#include <set>

#include <rapidcheck.h>

#include "tests/program_fixture.h"

namespace ring {
namespace {

constexpr int kPrograms = 4;
constexpr int64_t kRootBudget = 60;
constexpr int64_t kChildBudget = 40;

/// Generates random commands, including repeated, outdated and wrong-epoch
/// ones. Program 1 is the root; each other one is a child of its predecessor.
class CommandGenerator {
 public:
  std::string Next(const StateMachineI& machine) {
    if (!sent_.empty() && *rc::gen::inRange(0, 4) == 0) {
      return sent_[*rc::gen::inRange<size_t>(0, sent_.size())];
    }
    sent_.push_back(GenerateCommand(machine));
    return sent_.back();
  }

 private:
  std::string GenerateCommand(const StateMachineI& machine) {
    const int number = *rc::gen::inRange(1, kPrograms + 1);
    const ProgramId id = TestId(number);
    const auto state = codec::DecodeState(machine.Query(codec::EncodeRead(id)));
    if (!state || *rc::gen::inRange(0, 25) == 0) {
      return codec::Encode(
          MakeOpen(id, number == 1 ? kRootBudget : kChildBudget,
                   number == 1 ? ProgramId() : TestId(number - 1)));
    }
    const uint64_t epoch = state->epoch - (*rc::gen::inRange(0, 10) == 0);
    const CallRecord* last =
        state->calls.empty() ? nullptr : &state->calls.back();
    const bool in_progress =
        last != nullptr && last->state == CallState::kBegun;
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
        return codec::EncodeAcquire(id, "entry-2");
      case 1:
        return codec::EncodeEnd(id, Reason::kNone);
      case 2:
        return codec::EncodeConfirmRelease(id, kEngine);
      case 3:
        return in_progress ? codec::Encode(AbortCall{id, epoch, last->sequence,
                                                     last->attempt})
                           : codec::EncodeExpire();
      case 4:
      case 5:
        return in_progress ? Retry(id, epoch, *last) : codec::EncodeExpire();
      case 6:
      case 7:
      case 8:
        return in_progress ? Finish(id, epoch, *last) : codec::EncodeExpire();
      default:
        return Begin(id, epoch, *state);
    }
  }

  std::string Begin(const ProgramId& id,
                    uint64_t epoch,
                    const ProgramState& state) {
    const uint64_t low = state.next_sequence > 2 ? state.next_sequence - 2 : 1;
    BeginCall begin =
        MakeBegin(id, *rc::gen::inRange(low, state.next_sequence + 2),
                  ++attempts_, epoch);
    begin.idempotent = begin.sequence % 2 == 0;
    begin.reserve_tokens = *rc::gen::inRange(0, 15);
    return codec::Encode(begin);
  }
  std::string Retry(const ProgramId& id,
                    uint64_t epoch,
                    const CallRecord& last) {
    return codec::Encode(RetryCall{id, epoch, last.sequence,
                                   AttemptId(++attempts_), last.attempt, false,
                                   kOtherEngine, true});
  }
  std::string Finish(const ProgramId& id,
                     uint64_t epoch,
                     const CallRecord& last) {
    FinishCall finish = MakeFinish(id, last.sequence, 0, epoch);
    finish.attempt = last.attempt;
    finish.used_tokens = *rc::gen::inRange(-5, 30);
    return codec::Encode(finish);
  }

  std::vector<std::string> sent_;
  int attempts_ = 0;
};

/// Checks the invariants that hold after every command.
class Invariants {
 public:
  void Check(const StateMachineI& machine) {
    for (int number = 1; number <= kPrograms; ++number) {
      const ProgramId id = TestId(number);
      const auto state =
          codec::DecodeState(machine.Query(codec::EncodeRead(id)));
      if (!state) {
        RC_ASSERT(state.refusal().reason == Reason::kUnknownProgram);
        continue;
      }
      RC_ASSERT(state->used_tokens >= 0);
      RC_ASSERT(state->reserved_tokens >= 0);
      RC_ASSERT(state->available_tokens() >= 0);
      CheckReservedTokens(machine, *state);
      CheckHistory(*state);
      CheckAttempts(*state);
    }
  }

 private:
  void CheckReservedTokens(const StateMachineI& machine,
                           const ProgramState& state) {
    int64_t expected = 0;
    for (const CallRecord& call : state.calls) {
      expected += call.state == CallState::kBegun && !state.ended
                      ? call.reserved_tokens
                      : 0;
    }
    for (const ProgramId& child : state.children) {
      expected += codec::DecodeState(machine.Query(codec::EncodeRead(child)))
                      ->budget_tokens;
    }
    RC_ASSERT(state.reserved_tokens == expected);
  }

  /// The history is append-only and ordered by sequence number.
  void CheckHistory(const ProgramState& state) {
    if (state.ended) {
      return;
    }
    std::vector<std::string>& seen = history_[state.id];
    RC_ASSERT(state.history.size() >= seen.size());
    RC_ASSERT(std::equal(seen.begin(), seen.end(), state.history.begin()));
    uint64_t before = 0;
    for (size_t i = 0; i < state.history.size(); i += 2) {
      const uint64_t sequence = std::stoull(state.history[i].substr(9));
      RC_ASSERT(sequence > before);
      before = sequence;
    }
    seen = state.history;
  }

  /// A non-idempotent call keeps its first attempt, also after a takeover. An
  /// aborted call releases its sequence number, so the next one is a new call.
  void CheckAttempts(const ProgramState& state) {
    for (const CallRecord& call : state.calls) {
      if (call.idempotent) {
        continue;
      }
      auto& first = attempts_[{state.id, call.sequence}];
      if (first.empty() || last_next_sequence_[state.id] <= call.sequence) {
        first = call.attempt;
      }
      RC_ASSERT(first == call.attempt);
    }
    last_next_sequence_[state.id] = state.next_sequence;
  }

  std::map<ProgramId, std::vector<std::string>> history_;
  std::map<std::pair<ProgramId, uint64_t>, std::string> attempts_;
  std::map<ProgramId, uint64_t> last_next_sequence_;
};

// Guards against repeated, delayed or reordered commands that exceed a budget,
// corrupt the history or run a non-idempotent call twice.
TEST(ProgramMachineProperty, RandomCommands_PreserveInvariants) {
  EXPECT_TRUE(rc::check([] {
    const auto machine = CreateProgramMachine("salem", ProgramLimits());
    CommandGenerator source;
    Invariants invariants;
    int64_t now_ms = 1'000;
    for (uint64_t index = 1; index <= 60; ++index) {
      now_ms += *rc::gen::inRange(0, 2'000);
      machine->Apply(index, now_ms, source.Next(*machine));
      invariants.Check(*machine);
    }
  }));
}

// Guards against a replica that diverges after it was restored from a snapshot.
TEST(ProgramMachineProperty, SaveAndLoad_PreserveState) {
  EXPECT_TRUE(rc::check([] {
    const auto machine = CreateProgramMachine("salem", ProgramLimits());
    const auto restored = CreateProgramMachine("salem", ProgramLimits());
    CommandGenerator source;
    for (uint64_t index = 1; index <= 60; ++index) {
      const std::string command = source.Next(*machine);
      const int64_t now_ms = 1'000 + static_cast<int64_t>(index) * 1'500;
      const std::string result = machine->Apply(index, now_ms, command);
      if (index > 30) {
        RC_ASSERT(restored->Apply(index, now_ms, command) == result);
      }
      if (index == 30) {
        RC_ASSERT(restored->Load(machine->Save()).ok());
      }
    }
    RC_ASSERT(restored->Save() == machine->Save());
  }));
}

}  // namespace
}  // namespace ring
