#include "tests/program_fixture.h"

namespace ring {
namespace {

// Guards against opening or using a program outside of its home domain.
TEST_F(ProgramMachineTest, IdOfAnotherDomain_IsUnknown) {
  const ProgramId foreign = ProgramId::Generate("tacoma");
  EXPECT_EQ(Apply(MakeOpen(foreign, 10)), Reason::kUnknownProgram);
  EXPECT_EQ(Apply(MakeBegin(foreign, 1, 1)), Reason::kUnknownProgram);
  EXPECT_EQ(Apply(MakeOpen(id_, 10, foreign)), Reason::kUnknownProgram);
}

// Guards against a second effect of a command that is repeated because its
// result was lost.
TEST_F(ProgramMachineTest, RepeatedCommands_ChangeTheStateOnce) {
  RetryCall retry{id_,          1,   1, AttemptId(2), AttemptId(1), true,
                  kOtherEngine, true};
  const std::string commands[] = {
      codec::Encode(MakeOpen(id_, 100)),
      codec::Encode(MakeOpen(child_, 30, id_)),
      codec::Encode(MakeBegin(id_, 1, 1)),
      codec::Encode(retry),
      codec::Encode(AbortCall{id_, 1, 1, AttemptId(2)}),
      codec::Encode(MakeBegin(id_, 1, 3)),
      codec::Encode(MakeFinish(id_, 1, 3)),
      codec::EncodeAcquire(id_, "entry-2"),
      codec::EncodeEnd(id_, Reason::kNone),
      codec::EncodeConfirmRelease(id_, kEngine)};
  for (size_t i = 0; i < std::size(commands); ++i) {
    ASSERT_EQ(ApplyBytes(commands[i]), Reason::kNone) << i;
    const std::string once = machine_->Save();
    EXPECT_EQ(ApplyBytes(commands[i]), Reason::kNone) << i;
    EXPECT_TRUE(machine_->Save() == once) << i;
  }
}

// Guards against a delayed duplicate of BeginCall that begins an aborted call
// again, which no entry would then send or finish.
TEST_F(ProgramMachineTest, LateBeginOfAbortedAttempt_IsRefused) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeBegin(id_, 1, 1));
  Apply(AbortCall{id_, 1, 1, AttemptId(1)});
  EXPECT_EQ(Apply(MakeBegin(id_, 1, 1)), Reason::kCancelled);
  EXPECT_EQ(Apply(MakeBegin(id_, 1, 2)), Reason::kNone);
}

// Guards against writes of a former owner that was paused during a takeover.
TEST_F(ProgramMachineTest, StaleEpoch_IsRefusedForEveryOwnersCommand) {
  Apply(MakeOpen(id_, 100));
  BeginCall idempotent = MakeBegin(id_, 1, 1);
  idempotent.idempotent = true;
  Apply(idempotent);
  ASSERT_EQ(Acquire(id_, "entry-2"), Reason::kNone);
  const std::string before = machine_->Save();
  EXPECT_EQ(Apply(idempotent), Reason::kStaleEpoch);
  EXPECT_EQ(
      Apply(RetryCall{id_, 1, 1, AttemptId(2), AttemptId(1), true, kEngine}),
      Reason::kStaleEpoch);
  EXPECT_EQ(Apply(AbortCall{id_, 1, 1, AttemptId(1)}), Reason::kStaleEpoch);
  EXPECT_EQ(Apply(MakeFinish(id_, 1, 1)), Reason::kStaleEpoch);
  EXPECT_TRUE(machine_->Save() == before);
  End(id_);
  EXPECT_EQ(Apply(MakeFinish(id_, 1, 1)), Reason::kStaleEpoch);
}

// Guards against calls that run out of order, twice or concurrently.
TEST_F(ProgramMachineTest, SequenceOfCalls_IsEnforced) {
  Apply(MakeOpen(id_, 100));
  EXPECT_EQ(Apply(MakeBegin(id_, 2, 1)), Reason::kSequenceGap);
  EXPECT_EQ(Apply(MakeBegin(id_, 1, 1)), Reason::kNone);
  EXPECT_EQ(Apply(MakeBegin(id_, 2, 2)), Reason::kConflict)
      << "another call in progress";
  EXPECT_EQ(Apply(MakeBegin(id_, 1, 2)), Reason::kConflict)
      << "already in progress";
  EXPECT_EQ(Apply(MakeFinish(id_, 1, 2)), Reason::kConflict) << "other attempt";
  EXPECT_EQ(Apply(MakeFinish(id_, 1, 1)), Reason::kNone);
  EXPECT_EQ(Apply(MakeBegin(id_, 1, 2)), Reason::kConflict) << "finished";
  BeginCall other = MakeBegin(id_, 1, 2);
  other.digest = "other";
  EXPECT_EQ(Apply(other), Reason::kSequenceReuse);
  for (uint64_t sequence = 2; sequence <= kMaxStoredAnswers + 1; ++sequence) {
    Apply(MakeBegin(id_, sequence, static_cast<int>(sequence) + 10));
    Apply(MakeFinish(id_, sequence, static_cast<int>(sequence) + 10));
  }
  EXPECT_EQ(Apply(MakeBegin(id_, 1, 1)), Reason::kAnswerExpired);
  EXPECT_EQ(Read(id_)->calls.size(), kMaxStoredAnswers);
}

// Guards against a non-idempotent request that runs twice because its caller
// repeats it with the same key under a new sequence number, however much later.
TEST_F(ProgramMachineTest, ReusedIdempotencyKey_IsRefusedForever) {
  Apply(MakeOpen(id_, 1'000));
  BeginCall first = MakeBegin(id_, 1, 1);
  first.idempotency_key = "order-17";
  Apply(first);
  Apply(MakeFinish(id_, 1, 1));
  BeginCall again = MakeBegin(id_, 2, 2);
  again.idempotency_key = "order-17";
  EXPECT_EQ(Apply(again), Reason::kSequenceReuse);
  again.digest = first.digest;
  EXPECT_EQ(Apply(again), Reason::kConflict);
  for (uint64_t sequence = 2; sequence < 12; ++sequence) {
    Apply(MakeBegin(id_, sequence, static_cast<int>(sequence) + 10));
    Apply(MakeFinish(id_, sequence, static_cast<int>(sequence) + 10));
  }
  again.sequence = 12;
  EXPECT_EQ(Apply(again), Reason::kAnswerExpired);
}

// Guards against an owner that sends a non-idempotent call twice.
TEST_F(ProgramMachineTest, RetryOfNonIdempotentCall_RequiresNotRun) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeBegin(id_, 1, 1));
  RetryCall retry{id_,          1,   1, AttemptId(2), AttemptId(1), false,
                  kOtherEngine, true};
  EXPECT_EQ(Apply(retry), Reason::kNotAllowed);
  retry.previous_not_run = true;
  EXPECT_EQ(Apply(retry), Reason::kNone);
  EXPECT_EQ(Read(id_)->cache_holders,
            (std::vector<UpstreamId>{kEngine, kOtherEngine}));
  retry.attempt = AttemptId(3);
  EXPECT_EQ(Apply(retry), Reason::kConflict) << "attempt 1 is not the latest";
}

// Guards against a takeover that runs a non-idempotent call again or loses an
// idempotent one.
TEST_F(ProgramMachineTest, Takeover_FinishesOnlyNonIdempotentCall) {
  for (const bool idempotent : {false, true}) {
    const ProgramId id = idempotent ? child_ : id_;
    Apply(MakeOpen(id, 100));
    BeginCall begin = MakeBegin(id, 1, 1);
    begin.idempotent = idempotent;
    Apply(begin);
    ASSERT_EQ(Acquire(id, "entry-2"), Reason::kNone);
    const ProgramState state = *codec::DecodeState(last_result_);
    EXPECT_EQ(state.epoch, 2u);
    begin.epoch = 2;
    begin.attempt = AttemptId(2);
    begin.upstream = kOtherEngine;
    if (idempotent) {
      EXPECT_EQ(state.calls[0].state, CallState::kBegun);
      EXPECT_EQ(Apply(begin), Reason::kNone);
      EXPECT_EQ(Read(id)->reserved_tokens, 10);
      EXPECT_EQ(Read(id)->cache_holders.size(), 2u);
      EXPECT_EQ(Apply(MakeFinish(id, 1, 2, 2)), Reason::kNone);
    } else {
      EXPECT_EQ(state.calls[0].state, CallState::kFinished);
      EXPECT_EQ(state.calls[0].reason, Reason::kOutcomeUnknown);
      EXPECT_EQ(state.calls[0].run_state, RunState::kUnknown);
      EXPECT_EQ(state.used_tokens, 10) << "the whole reserve is charged";
      EXPECT_EQ(Apply(begin), Reason::kConflict);
    }
  }
}

// Guards against concurrent children that together exceed the budget.
TEST_F(ProgramMachineTest, ChildBudgets_AreReservedAndCharged) {
  Apply(MakeOpen(id_, 100));
  ASSERT_EQ(Apply(MakeOpen(child_, 60, id_)), Reason::kNone);
  EXPECT_EQ(Apply(MakeOpen(TestId(3), 50, id_)), Reason::kBudgetExceeded);
  BeginCall big = MakeBegin(id_, 1, 1);
  big.reserve_tokens = 41;
  EXPECT_EQ(Apply(big), Reason::kBudgetExceeded);
  Apply(MakeBegin(child_, 1, 2));
  Apply(MakeFinish(child_, 1, 2));
  Apply(MakeBegin(child_, 2, 3));
  End(child_);
  const ProgramState parent = *Read(id_);
  EXPECT_EQ(parent.used_tokens, 14)
      << "4 used, 10 reserved by the call in progress";
  EXPECT_EQ(parent.reserved_tokens, 0);
  EXPECT_TRUE(parent.children.empty());
}

// Guards against a call that is charged more than it reserved.
TEST_F(ProgramMachineTest, UsageAboveReservedTokens_IsCapped) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeBegin(id_, 1, 1));
  FinishCall finish = MakeFinish(id_, 1, 1);
  finish.used_tokens = 1'000;
  Apply(finish);
  EXPECT_EQ(Read(id_)->used_tokens, 10);
}

// Guards against KV cache that is not released after the program has ended.
TEST_F(ProgramMachineTest, End_KeepsHoldersOfWholeTreeUntilConfirmed) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeOpen(child_, 30, id_));
  Apply(MakeOpen(TestId(3), 10, child_));
  Apply(MakeBegin(id_, 1, 1));
  Apply(MakeFinish(id_, 1, 1));
  Apply(MakeBegin(TestId(3), 1, 2));
  ASSERT_EQ(Confirm(id_, kEngine), Reason::kNotAllowed) << "not ended";
  ASSERT_EQ(End(id_), Reason::kNone);
  EXPECT_TRUE(Read(child_)->ended);
  EXPECT_TRUE(Read(TestId(3))->ended);
  EXPECT_EQ(PendingCount(), 2u);
  EXPECT_EQ(Apply(MakeBegin(TestId(3), 2, 3)), Reason::kProgramEnded);
  EXPECT_EQ(Confirm(id_, UpstreamId{kEngine.name, 8}), Reason::kNone);
  EXPECT_EQ(PendingCount(), 2u) << "another incarnation";
  Confirm(id_, kEngine);
  EXPECT_EQ(PendingCount(), 1u);
  // The ended program is kept while a release is unconfirmed.
  now_ms_ += 10 * limits_.tombstone_ms;
  Expire();
  EXPECT_FALSE(Read(id_).ok());
  EXPECT_TRUE(Read(TestId(3)).ok());
  Confirm(TestId(3), kEngine);
  Expire();
  EXPECT_FALSE(Read(TestId(3)).ok());
  EXPECT_EQ(Confirm(TestId(3), kEngine), Reason::kNone) << "repeated";
}

// Guards against KV cache that a call fills after the release was confirmed.
TEST_F(ProgramMachineTest, FinishAfterEnd_IsRefusedAndHolderIsKept) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeBegin(id_, 1, 1));
  End(id_);
  Confirm(id_, kEngine);
  EXPECT_EQ(PendingCount(), 1u) << "the request may not have been sent yet";
  EXPECT_EQ(Apply(MakeFinish(id_, 1, 1)), Reason::kProgramEnded);
  EXPECT_EQ(PendingCount(), 1u) << "the call may have filled the cache again";
  Confirm(id_, kEngine);
  EXPECT_EQ(PendingCount(), 0u);
  EXPECT_EQ(Apply(MakeFinish(id_, 1, 1)), Reason::kProgramEnded);
}

// Guards against an ended program that is kept forever because its owner died,
// and against unreleased KV cache of an owner that was paused for minutes.
TEST_F(ProgramMachineTest, OwnerSilentAfterEnd_ReleaseIsConfirmedAfterAMinute) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeBegin(id_, 1, 1));
  End(id_);
  now_ms_ += 61'000;
  Confirm(id_, kEngine);
  EXPECT_EQ(PendingCount(), 0u);
  EXPECT_EQ(Apply(MakeFinish(id_, 1, 1)), Reason::kProgramEnded);
  EXPECT_EQ(PendingCount(), 1u);
}

// Guards against programs that never end because a tool hangs, the program
// loops or its caller is gone.
TEST_F(ProgramMachineTest, DeadlineAndIdleLimit_EndPrograms) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeOpen(child_, 10, id_));
  now_ms_ += 50'000;
  Apply(MakeBegin(child_, 1, 1));
  Apply(MakeFinish(child_, 1, 1));
  now_ms_ += 50'000;
  Expire();
  EXPECT_FALSE(Read(id_)->ended) << "its child is running";
  now_ms_ += 20'000;
  Expire();
  EXPECT_TRUE(Read(child_)->ended);
  EXPECT_FALSE(Read(id_)->ended) << "idle time starts when its child ends";
  EXPECT_EQ(Apply(MakeBegin(child_, 2, 2)), Reason::kProgramExpired);
  Apply(MakeBegin(id_, 1, 3));
  now_ms_ += 100'000;
  Expire();
  EXPECT_FALSE(Read(id_)->ended) << "a call is in progress";
  now_ms_ = 1'000'000;
  EXPECT_EQ(Apply(MakeBegin(id_, 1, 4)), Reason::kConflict);
  Expire();
  EXPECT_EQ(Read(id_)->end_reason, Reason::kDeadlinePassed);
}

// Guards against a program that loops without end.
TEST_F(ProgramMachineTest, TurnAndHistoryLimits_RefuseFurtherCalls) {
  limits_.max_turns = 2;
  limits_.max_history_tokens = 100;
  machine_ = CreateProgramMachine("salem", limits_);
  Apply(MakeOpen(id_, 100));
  for (int turn = 1; turn <= 2; ++turn) {
    Apply(MakeBegin(id_, turn, turn));
    Apply(MakeFinish(id_, turn, turn));
  }
  EXPECT_EQ(Apply(MakeBegin(id_, 3, 3)), Reason::kTurnLimit);
  Apply(MakeOpen(child_, 100));
  Apply(MakeBegin(child_, 1, 1));
  FinishCall finish = MakeFinish(child_, 1, 1);
  finish.history_delta = {std::string(400, 'x')};
  Apply(finish);
  EXPECT_EQ(Apply(MakeBegin(child_, 2, 2)), Reason::kHistoryTooLong);
}

// Guards against a malformed command that crashes every replica of a group.
TEST_F(ProgramMachineTest, MalformedCommands_AreRefused) {
  const std::string good = codec::Encode(MakeBegin(id_, 1, 1));
  for (size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 0x5a);
    ApplyBytes(bad);
    machine_->Query(bad);
    EXPECT_NE(ApplyBytes(good.substr(0, i)), Reason::kNone);
  }
}

// Guards against a corrupt snapshot, or one of another domain, that is loaded
// partly or completely.
TEST_F(ProgramMachineTest, CorruptSnapshot_IsRefusedAndChangesNothing) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeBegin(id_, 1, 1));
  const std::string good = machine_->Save();
  for (size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    ASSERT_FALSE(machine_->Load(bad).ok()) << i;
    ASSERT_FALSE(machine_->Load(good.substr(0, i)).ok()) << i;
  }
  EXPECT_TRUE(machine_->Save() == good);
  EXPECT_FALSE(CreateProgramMachine("tacoma", limits_)->Load(good).ok());
}

// Guards against a new owner that gets only part of the program's state.
TEST_F(ProgramMachineTest, Acquire_ReturnsFullState) {
  Apply(MakeOpen(id_, 100));
  Apply(MakeBegin(id_, 1, 1));
  Apply(MakeFinish(id_, 1, 1));
  Acquire(id_, "entry-2");
  const ProgramState state = *codec::DecodeState(last_result_);
  EXPECT_EQ(state.history, MakeFinish(id_, 1, 1).history_delta);
  EXPECT_EQ(state.calls[0].answer, "body 1");
  EXPECT_EQ(state.owner, "entry-2");
  EXPECT_EQ(state, *Read(id_));
}

}  // namespace
}  // namespace ring
