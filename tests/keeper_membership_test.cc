#include <gtest/gtest.h>

#include "keeper_group_p.h"
#include "persimmonring/keeper.h"

namespace ring {
namespace {

using Kind = MembershipChange::Kind;

constexpr int64_t kLostTicks = 60;
constexpr uint64_t kCommitted = 100;

MemberProgress Row(ReplicaId id,
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
    input_.members = {Row(1, true), Row(2, true), Row(3, true)};
    input_.max_voters = 3;
    input_.lost_ticks = kLostTicks;
  }
  MembershipChange Plan() const { return PlanMembership(input_); }

  MembershipInput input_;
};

// Guards against changes of a ring that is well.
TEST_F(MembershipTest, AllVotersHeard_NothingChanges) {
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a vote of a replica that has forgotten its votes.
TEST_F(MembershipTest, NodeReturnsUnderNewId_OldReplicaIsRemovedFirst) {
  input_.joins = {{9, "keeper@10.0.0.3:7"}};
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 3u);
  input_.members.pop_back();
  EXPECT_EQ(Plan().kind, Kind::kAdd);
  EXPECT_EQ(Plan().id, 9u);
}

// Guards against a quorum that loses a voter before its successor has the data
// and votes.
TEST_F(MembershipTest, SilentVoter_IsRemovedOnlyOnceItsSuccessorVotes) {
  input_.members[2] = Row(3, true, kCommitted, kLostTicks + 1);
  EXPECT_EQ(Plan().kind, Kind::kNone);
  input_.members.push_back(Row(4, false, kCommitted - 1));
  EXPECT_EQ(Plan().kind, Kind::kNone);
  input_.members.back() = Row(4, false, kCommitted);
  EXPECT_EQ(Plan().kind, Kind::kPromote);
  EXPECT_EQ(Plan().id, 4u);
  input_.members.back().member.voter = true;
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 3u);
}

// Guards against a retired voter that is removed while another voter is frozen:
// the rest would have no majority (zvmfw-ring, trouble-1).
TEST_F(MembershipTest, RetireWhileAVoterIsFrozen_SuccessorVotesFirst) {
  input_.members[1] = Row(2, true, kCommitted - 50, kLostTicks / 2);
  input_.members.push_back(Row(4, false));
  input_.retired = {"10.0.0.3:7"};
  EXPECT_EQ(Plan().kind, Kind::kPromote);
  input_.members.back().member.voter = true;
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 3u);
}

// Guards against a fourth voter that no majority could ever confirm.
TEST_F(MembershipTest, TooFewVotersAreHeard_NoneIsAdded) {
  input_.members[1] = Row(2, true, kCommitted, kLostTicks + 1);
  input_.members[2] = Row(3, true, kCommitted, kLostTicks + 1);
  input_.members.push_back(Row(4, false));
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a ring that stays with fewer voters than it should have.
TEST_F(MembershipTest, FreePlace_LearnerThatKeepsUpIsPromoted) {
  input_.members[2] = Row(3, false);
  EXPECT_EQ(Plan().kind, Kind::kPromote);
  EXPECT_EQ(Plan().id, 3u);
}

// Guards against a voter that is replaced because it restarts.
TEST_F(MembershipTest, VoterSilentForAMoment_Stays) {
  input_.members[2] = Row(3, true, kCommitted, kLostTicks);
  input_.members.push_back(Row(4, false));
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a retired VM that keeps its vote or comes back.
TEST_F(MembershipTest, RetiredVoter_IsReplacedAndNotAddedAgain) {
  input_.retired = {"10.0.0.2:7"};
  EXPECT_EQ(Plan().kind, Kind::kNone);
  input_.members.push_back(Row(4, true));
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 2u);
  std::erase_if(input_.members,
                [](const auto& row) { return row.member.id == 2; });
  input_.joins = {{2, "keeper@10.0.0.2:7"}};
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a lost learner that blocks others, and against a second loss
// of a learner that is taken for a successor.
TEST_F(MembershipTest, LostLearner_IsRemoved) {
  input_.members[2] = Row(3, true, kCommitted, kLostTicks + 1);
  input_.members.push_back(Row(4, false, kCommitted, kLostTicks + 1));
  EXPECT_EQ(Plan().kind, Kind::kRemove);
  EXPECT_EQ(Plan().id, 4u);
}

// Guards against a copy of all data at each of many keepers.
TEST_F(MembershipTest, EnoughLearners_NoFurtherKeeperIsAdded) {
  input_.max_learners = 1;
  input_.joins = {{7, "keeper@10.0.0.7:7"}};
  EXPECT_EQ(Plan().kind, Kind::kAdd);
  input_.members.push_back(Row(4, false));
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against a leader that counts itself as silent.
TEST_F(MembershipTest, LeaderItself_IsNeverLost) {
  input_.members[0] = Row(1, true, kCommitted, kLostTicks + 1);
  input_.members.push_back(Row(4, false));
  EXPECT_EQ(Plan().kind, Kind::kNone);
}

// Guards against commits that cross the link between regions twice.
TEST(PreferredLeader, LeaderInTheSmallerRegion_MovesToTheLarger) {
  const LeaderCandidate a{1, "west", true};
  const LeaderCandidate b{2, "east", true};
  const LeaderCandidate c{3, "east", true};
  EXPECT_EQ(PreferredLeader(1, {a, b, c}), 2u);
  EXPECT_EQ(PreferredLeader(2, {a, b, c}), 0u);
  const LeaderCandidate late{2, "east", false};
  EXPECT_EQ(PreferredLeader(1, {a, late, c}), 3u);
}

// Guards against a leadership that wanders between equal regions, or to a voter
// of an unknown one.
TEST(PreferredLeader, NoLargerRegion_LeaderStays) {
  EXPECT_EQ(PreferredLeader(1, {{1, "west", true}, {2, "east", true}}), 0u);
  EXPECT_EQ(
      PreferredLeader(1, {{1, "west", true}, {2, "", true}, {3, "", true}}),
      0u);
}

MemberProgress Copying(uint64_t match, int64_t silent_ticks) {
  MemberProgress row;
  row.match_index = match;
  row.silent_ticks = silent_ticks;
  return row;
}

// Guards against a member that is brought up a second time from the start: the
// leader saved a snapshot meanwhile and dropped the entries it was copying, so
// that a second lost disk found no majority (cbfg-ring fresh-1934).
TEST(KeepFrom, MemberCopiesEntries_TheyAreKept) {
  EXPECT_EQ(KeepFrom(8'001, 8'000, {Copying(2'429, 1)}), 2'430u);
  EXPECT_EQ(KeepFrom(8'001, 8'000, {Copying(9'000, 1), Copying(6'000, 1)}),
            6'001u);
}

// Guards against a log that grows for members that are away or far behind.
TEST(KeepFrom, SilentNewOrFarMember_GetsASnapshot) {
  EXPECT_EQ(KeepFrom(8'001, 8'000, {Copying(2'429, 500)}), 8'001u);
  EXPECT_EQ(KeepFrom(8'001, 8'000, {Copying(0, 1)}), 8'001u);
  EXPECT_EQ(KeepFrom(50'001, 8'000, {Copying(2'429, 1)}), 50'001u);
  EXPECT_EQ(KeepFrom(8'001, 8'000, {}), 8'001u);
}

}  // namespace
}  // namespace ring
