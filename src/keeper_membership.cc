#include <algorithm>
#include <map>

#include "persimmonring/keeper.h"

namespace ring {
namespace {

MembershipChange Add(const JoinRequest& join, const std::string& cause) {
  return {MembershipChange::Kind::kAdd, join.id, join.node, cause};
}

MembershipChange Remove(const Member& member, const std::string& cause) {
  return {MembershipChange::Kind::kRemove, member.id, member.node, cause};
}

size_t VoterCount(const MembershipInput& input) {
  return static_cast<size_t>(std::count_if(
      input.members.begin(), input.members.end(),
      [](const auto& progress) { return progress.member.voter; }));
}

bool IsLost(const MembershipInput& input, const MemberProgress& progress) {
  return progress.member.id != input.self &&
         progress.silent_ticks > input.lost_after_ticks;
}

bool IsRetired(const MembershipInput& input, const MemberProgress& progress) {
  return input.retired.contains(KeeperAddress(progress.member.node));
}

// Finds a learner that is up to date, so that it can become a voter.
const MemberProgress* FindReplacement(const MembershipInput& input) {
  const auto found = std::find_if(
      input.members.begin(), input.members.end(), [&](const auto& progress) {
        return !progress.member.voter && !IsLost(input, progress) &&
               !IsRetired(input, progress) &&
               progress.match_index >= input.commit_index;
      });
  return found == input.members.end() ? nullptr : &*found;
}

// Finds the voter to remove. A retired voter comes before a lost one, because a
// lost one may return.
const MemberProgress* FindVoterToRemove(const MembershipInput& input) {
  const MemberProgress* lost = nullptr;
  for (const MemberProgress& progress : input.members) {
    if (progress.member.voter && IsRetired(input, progress)) {
      return &progress;
    }
    if (progress.member.voter && IsLost(input, progress)) {
      lost = &progress;
    }
  }
  return lost;
}

// Returns true if, after adding a voter, the voters that are not lost are still
// a majority.
bool CanAddVoter(const MembershipInput& input) {
  const auto reachable = static_cast<size_t>(std::count_if(
      input.members.begin(), input.members.end(), [&](const auto& progress) {
        return progress.member.voter && !IsLost(input, progress);
      }));
  const size_t voters_after = VoterCount(input) + 1;
  return reachable + 1 >= voters_after / 2 + 1;
}

}  // namespace

std::string KeeperAddress(const std::string& node) {
  const size_t at = node.find('@');
  return at == std::string::npos ? node : node.substr(at + 1);
}

ReplicaId PreferredLeader(ReplicaId leader,
                          const std::vector<LeaderCandidate>& voters) {
  std::map<std::string, size_t> voters_in_region;
  std::string leader_region;
  for (const LeaderCandidate& voter : voters) {
    ++voters_in_region[voter.region];
    if (voter.id == leader) {
      leader_region = voter.region;
    }
  }
  for (const LeaderCandidate& voter : voters) {
    if (voter.ready && !voter.region.empty() && !leader_region.empty() &&
        2 * voters_in_region[voter.region] > voters.size() &&
        voter.region != leader_region) {
      return voter.id;
    }
  }
  return 0;
}

MembershipChange PlanMembership(const MembershipInput& input) {
  // A node that returns under a new id has lost its data and no longer knows
  // how it voted.
  for (const JoinRequest& join : input.joins) {
    for (const MemberProgress& progress : input.members) {
      if (progress.member.node == join.node && progress.member.id != join.id) {
        return Remove(progress.member, "the node returned without its data");
      }
    }
  }
  for (const MemberProgress& progress : input.members) {
    if (!progress.member.voter &&
        (IsLost(input, progress) || IsRetired(input, progress))) {
      return Remove(progress.member, "the learner is lost or retired");
    }
  }
  const size_t learners = input.members.size() - VoterCount(input);
  for (const JoinRequest& join : input.joins) {
    if (learners >= input.max_learners) {
      break;
    }
    const bool is_member = std::any_of(
        input.members.begin(), input.members.end(),
        [&](const auto& progress) { return progress.member.id == join.id; });
    if (!is_member && !input.retired.contains(KeeperAddress(join.node))) {
      return Add(join, "the keeper asked to join");
    }
  }
  const MemberProgress* const to_remove = FindVoterToRemove(input);
  const size_t voters = VoterCount(input);
  if (voters > input.max_voters && to_remove != nullptr) {
    return Remove(to_remove->member, "its replacement is a voter");
  }
  const MemberProgress* const replacement = FindReplacement(input);
  const bool needs_voter = voters < input.max_voters ||
                           (voters == input.max_voters && to_remove != nullptr);
  if (needs_voter && replacement != nullptr && CanAddVoter(input)) {
    return {MembershipChange::Kind::kPromote, replacement->member.id,
            replacement->member.node, "the learner is up to date"};
  }
  return {};
}

}  // namespace ring
