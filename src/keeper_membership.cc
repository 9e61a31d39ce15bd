#include <algorithm>

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

// A learner that could vote as soon as there is a free place.
bool HasSuccessor(const MembershipInput& input) {
  return std::any_of(
      input.members.begin(), input.members.end(), [&](const auto& row) {
        return !row.member.voter && !IsLost(input, row) &&
               !IsRetired(input, row) && row.match_index >= input.commit_index;
      });
}

}  // namespace

std::string AddressOfKeeper(const std::string& node) {
  const size_t at = node.find('@');
  return at == std::string::npos ? node : node.substr(at + 1);
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
  for (const JoinRequest& join : input.joins) {
    const bool member = std::any_of(
        input.members.begin(), input.members.end(),
        [&](const auto& row) { return row.member.id == join.id; });
    if (!member && !input.retired.contains(AddressOfKeeper(join.node))) {
      return Add(join, "a keeper asked for a place");
    }
  }
  if (VoterCount(input) < input.max_voters || !HasSuccessor(input)) {
    return {};
  }
  for (const MemberProgress& row : input.members) {
    if (row.member.voter && IsRetired(input, row)) {
      return Remove(row.member, "the VM is to be emptied");
    }
  }
  for (const MemberProgress& row : input.members) {
    if (row.member.voter && IsLost(input, row)) {
      return Remove(row.member, "the voter is silent and a learner caught up");
    }
  }
  return {};
}

}  // namespace ring
