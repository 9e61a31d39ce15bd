#include <algorithm>
#include <map>

#include "persimmonring/keeper.h"

namespace ring {
namespace {

MembershipChange Add(const JoinRequest& join, const std::string& why) {
  return {MembershipChange::Kind::kAdd, join.id, join.node, why};
}

MembershipChange Remove(const Member& member, const std::string& why) {
  return {MembershipChange::Kind::kRemove, member.id, member.node, why};
}

size_t VoterCount(const MembershipInput& input) {
  return static_cast<size_t>(
      std::count_if(input.members.begin(), input.members.end(),
                    [](const auto& row) { return row.member.voter; }));
}

bool IsLost(const MembershipInput& input, const MemberProgress& row) {
  return row.member.id != input.self && row.silent_ticks > input.lost_ticks;
}

bool IsRetired(const MembershipInput& input, const MemberProgress& row) {
  return input.retired.contains(AddressOfKeeper(row.member.node));
}

// A learner that keeps up, and so could vote.
const MemberProgress* FindSuccessor(const MembershipInput& input) {
  const auto found = std::find_if(
      input.members.begin(), input.members.end(), [&](const auto& row) {
        return !row.member.voter && !IsLost(input, row) &&
               !IsRetired(input, row) && row.match_index >= input.commit_index;
      });
  return found == input.members.end() ? nullptr : &*found;
}

// The voter that should go, one that is to be emptied before one that is lost
// and may return.
const MemberProgress* FindLeaving(const MembershipInput& input) {
  const MemberProgress* lost = nullptr;
  for (const MemberProgress& row : input.members) {
    if (row.member.voter && IsRetired(input, row)) {
      return &row;
    }
    if (row.member.voter && IsLost(input, row)) {
      lost = &row;
    }
  }
  return lost;
}

// The group with one more voter has a majority of voters that are heard.
bool MayGrow(const MembershipInput& input) {
  const auto heard = static_cast<size_t>(std::count_if(
      input.members.begin(), input.members.end(), [&](const auto& row) {
        return row.member.voter && !IsLost(input, row);
      }));
  const size_t grown = VoterCount(input) + 1;
  return heard + 1 >= grown / 2 + 1;
}

}  // namespace

std::string AddressOfKeeper(const std::string& node) {
  const size_t at = node.find('@');
  return at == std::string::npos ? node : node.substr(at + 1);
}

ReplicaId PreferredLeader(ReplicaId leader,
                          const std::vector<LeaderCandidate>& voters) {
  std::map<std::string, size_t> in_region;
  std::string own;
  for (const LeaderCandidate& voter : voters) {
    ++in_region[voter.region];
    if (voter.id == leader) {
      own = voter.region;
    }
  }
  for (const LeaderCandidate& voter : voters) {
    if (voter.ready && !voter.region.empty() && !own.empty() &&
        2 * in_region[voter.region] > voters.size() && voter.region != own) {
      return voter.id;
    }
  }
  return 0;
}

MembershipChange PlanMembership(const MembershipInput& input) {
  // The same node under a new id has lost its disk and with it its vote.
  for (const JoinRequest& join : input.joins) {
    for (const MemberProgress& row : input.members) {
      if (row.member.node == join.node && row.member.id != join.id) {
        return Remove(row.member, "the node came back without its data");
      }
    }
  }
  for (const MemberProgress& row : input.members) {
    if (!row.member.voter && (IsLost(input, row) || IsRetired(input, row))) {
      return Remove(row.member, "the learner is lost or retired");
    }
  }
  const size_t learners = input.members.size() - VoterCount(input);
  for (const JoinRequest& join : input.joins) {
    if (learners >= input.max_learners) {
      break;
    }
    const bool member =
        std::any_of(input.members.begin(), input.members.end(),
                    [&](const auto& row) { return row.member.id == join.id; });
    if (!member && !input.retired.contains(AddressOfKeeper(join.node))) {
      return Add(join, "a keeper asked for a place");
    }
  }
  const MemberProgress* const leaving = FindLeaving(input);
  const size_t voters = VoterCount(input);
  if (voters > input.max_voters && leaving != nullptr) {
    return Remove(leaving->member, "its successor votes");
  }
  const MemberProgress* const successor = FindSuccessor(input);
  const bool wanted = voters < input.max_voters ||
                      (voters == input.max_voters && leaving != nullptr);
  if (wanted && successor != nullptr && MayGrow(input)) {
    return {MembershipChange::Kind::kPromote, successor->member.id,
            successor->member.node, "the learner keeps up"};
  }
  return {};
}

}  // namespace ring
