#include <gtest/gtest.h>

#include "keeper_group_p.h"
#include "persimmonring/keeper.h"

namespace ring {
namespace {

using Kind = MembershipChange::Kind;

constexpr int64_t kLostTicks = 60;
constexpr uint64_t kCommitted = 100;

MemberProgress Progress(ReplicaId id,
                        bool voter,
                        uint64_t match = kCommitted,
                        int64_t silent = 0) {
  return {
      {id, "keeper@10.0.0." + std::to_string(id) + ":7", voter}, match, silent};
}

class MembershipTest : public testing::Test {
 protected:
  MembershipTest() {
    input_.self = 1;
    input_.commit_index = kCommitted;
    input_.members = {Progress(1, true), Progress(2, true), Progress(3, true)};
    input_.max_voters = 3;
    input_.lost_after_ticks = kLostTicks;
  }
  MembershipChange Plan() const { return PlanMembership(input_); }

  MembershipInput input_;
};

// Guards against membership changes in a healthy group.
TEST_F(MembershipTest, AllVotersReachable_NothingChanges) {
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a replica that votes again in the same term because it lost
// its data.
TEST_F(MembershipTest, NodeReturnsUnderNewId_OldReplicaIsRemovedFirst) {
  input_.joins = {{9, "keeper@10.0.0.3:7"}};
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 3u);
  input_.members.pop_back();
  EXPECT_EQ(Plan().kind, Kind::kAdd);
  EXPECT_EQ(Plan().id, 9u);
}

// Guards against removing a lost voter before its replacement is up to date and
// a voter.
TEST_F(MembershipTest, LostVoter_IsRemovedOnlyOnceItsReplacementIsAVoter) {
  input_.members[2] = Progress(3, true, kCommitted, kLostTicks + 1);
  EXPECT_EQ(Plan().kind, Kind::kNone);
  input_.members.push_back(Progress(4, false, kCommitted - 1));
  EXPECT_EQ(Plan().kind, Kind::kNone);
  input_.members.back() = Progress(4, false, kCommitted);
  EXPECT_EQ(Plan().kind, Kind::kPromote);
  EXPECT_EQ(Plan().id, 4u);
  input_.members.back().member.voter = true;
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 3u);
}

// Guards against removing a retired voter while another voter is frozen: the
// remaining voters would have no majority.
TEST_F(MembershipTest,
       VoterRetiredWhileAnotherIsFrozen_ReplacementIsPromotedFirst) {
  input_.members[1] = Progress(2, true, kCommitted - 50, kLostTicks / 2);
  input_.members.push_back(Progress(4, false));
  input_.retired = {"10.0.0.3:7"};
  EXPECT_EQ(Plan().kind, Kind::kPromote);
  input_.members.back().member.voter = true;
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 3u);
}

// Guards against adding a voter when too few voters are reachable to commit the
// change.
TEST_F(MembershipTest, TooFewVotersReachable_NoneIsPromoted) {
  input_.members[1] = Progress(2, true, kCommitted, kLostTicks + 1);
  input_.members[2] = Progress(3, true, kCommitted, kLostTicks + 1);
  input_.members.push_back(Progress(4, false));
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a group that keeps fewer than max_voters voters.
TEST_F(MembershipTest, VoterMissing_UpToDateLearnerIsPromoted) {
  input_.members[2] = Progress(3, false);
  EXPECT_EQ(Plan().kind, Kind::kPromote);
  EXPECT_EQ(Plan().id, 3u);
}

// Guards against replacing a voter that only restarts.
TEST_F(MembershipTest, BrieflySilentVoter_Stays) {
  input_.members[2] = Progress(3, true, kCommitted, kLostTicks);
  input_.members.push_back(Progress(4, false));
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a retired keeper that stays a voter or joins again.
TEST_F(MembershipTest, RetiredVoter_IsReplacedAndNotAddedAgain) {
  input_.retired = {"10.0.0.2:7"};
  EXPECT_EQ(Plan().kind, Kind::kNone);
  input_.members.push_back(Progress(4, true));
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 2u);
  std::erase_if(input_.members,
                [](const auto& progress) { return progress.member.id == 2; });
  input_.joins = {{2, "keeper@10.0.0.2:7"}};
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a lost learner that takes the place of another, or that is
// promoted to replace a lost voter.
TEST_F(MembershipTest, LostLearner_IsRemoved) {
  input_.members[2] = Progress(3, true, kCommitted, kLostTicks + 1);
  input_.members.push_back(Progress(4, false, kCommitted, kLostTicks + 1));
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 4u);
}

// Guards against copying all data to every keeper.
TEST_F(MembershipTest, EnoughLearners_NoFurtherKeeperIsAdded) {
  input_.max_learners = 1;
  input_.joins = {{7, "keeper@10.0.0.7:7"}};
  EXPECT_EQ(Plan().kind, Kind::kAdd);
  input_.members.push_back(Progress(4, false));
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a leader that counts itself as lost.
TEST_F(MembershipTest, LeaderItself_IsNeverLost) {
  input_.members[0] = Progress(1, true, kCommitted, kLostTicks + 1);
  input_.members.push_back(Progress(4, false));
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a leader whose every commit has to cross the link between
// regions.
TEST(PreferredLeader, LeaderInTheSmallerRegion_MovesToTheLarger) {
  const LeaderCandidate a{1, "west", true};
  const LeaderCandidate b{2, "east", true};
  const LeaderCandidate c{3, "east", true};
  EXPECT_EQ(PreferredLeader(1, {a, b, c}), 2u);
  EXPECT_EQ(PreferredLeader(2, {a, b, c}), 0u);
  const LeaderCandidate late{2, "east", false};
  EXPECT_EQ(PreferredLeader(1, {a, late, c}), 3u);
}

// Guards against leadership that moves back and forth between regions with
// equally many voters, or to a voter whose region is unknown.
TEST(PreferredLeader, NoLargerRegion_LeaderStays) {
  EXPECT_EQ(PreferredLeader(1, {{1, "west", true}, {2, "east", true}}), 0u);
  EXPECT_EQ(
      PreferredLeader(1, {{1, "west", true}, {2, "", true}, {3, "", true}}),
      0u);
}

MemberProgress Replicating(uint64_t match, int64_t silent_ticks) {
  MemberProgress progress;
  progress.match_index = match;
  progress.silent_ticks = silent_ticks;
  return progress;
}

// Guards against a leader that saves a snapshot and drops the entries that a
// new member is still replicating. The member then starts over with the
// snapshot, and if another disk is lost meanwhile, the group has no majority.
TEST(FirstEntryToKeep, ReplicatingMember_KeepsItsEntries) {
  EXPECT_EQ(FirstEntryToKeep(8'001, 8'000, {Replicating(2'429, 1)}), 2'430u);
  EXPECT_EQ(FirstEntryToKeep(8'001, 8'000,
                             {Replicating(9'000, 1), Replicating(6'000, 1)}),
            6'001u);
}

// Guards against a log that grows without bound for members that are offline or
// far behind.
TEST(FirstEntryToKeep, SilentNewOrFarBehindMember_GetsASnapshot) {
  EXPECT_EQ(FirstEntryToKeep(8'001, 8'000, {Replicating(2'429, 500)}), 8'001u);
  EXPECT_EQ(FirstEntryToKeep(8'001, 8'000, {Replicating(0, 1)}), 8'001u);
  EXPECT_EQ(FirstEntryToKeep(50'001, 8'000, {Replicating(2'429, 1)}), 50'001u);
  EXPECT_EQ(FirstEntryToKeep(8'001, 8'000, {}), 8'001u);
}

}  // namespace
}  // namespace ring
