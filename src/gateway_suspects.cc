#include "gateway_suspects_p.h"

#include <algorithm>

namespace ring {
namespace {

// A request that was answered within this time is not blamed for a crash;
// covers the period in which several upstreams crash for another reason.
constexpr int64_t kRecentAnswerMs = 10'000;
// Maximum number of remembered answers.
constexpr size_t kMaxAnswers = 4'096;

}  // namespace

std::vector<SuspectedRequest> SuspectTable::ApplyList(
    uint64_t version,
    const std::vector<SuspectedRequest>& requests) {
  std::vector<SuspectedRequest> changed;
  if (version < version_) {
    return changed;
  }
  version_ = version;
  std::unordered_map<uint64_t, int32_t> listed;
  for (const SuspectedRequest& request : requests) {
    listed[request.digest] = request.crashes;
    const auto before = listed_.find(request.digest);
    if (before == listed_.end() || before->second != request.crashes) {
      changed.push_back(request);
    }
  }
  for (const auto& [digest, crashes] : listed_) {
    if (!listed.contains(digest)) {
      // The request was answered at another entry.
      local_board_.Clear(digest);
    }
  }
  listed_ = std::move(listed);
  return changed;
}

bool SuspectTable::OnSuccess(uint64_t digest, int64_t now_ms) {
  local_board_.Clear(digest);
  answered_[digest] = now_ms;
  answers_.emplace_back(now_ms, digest);
  while (answers_.size() > kMaxAnswers ||
         answers_.front().first + kRecentAnswerMs < now_ms) {
    const auto& [at_ms, oldest] = answers_.front();
    const auto found = answered_.find(oldest);
    if (found != answered_.end() && found->second == at_ms) {
      answered_.erase(found);
    }
    answers_.pop_front();
  }
  return listed_.contains(digest);
}

bool SuspectTable::AnsweredLately(uint64_t digest, int64_t now_ms) const {
  const auto found = answered_.find(digest);
  return found != answered_.end() && now_ms - found->second <= kRecentAnswerMs;
}

bool SuspectTable::IsRepeat(uint64_t digest, int64_t sent_ms) const {
  const std::vector<UpstreamCrash>& recent = local_board_.recent();
  return std::any_of(
      recent.begin(), recent.end(), [&](const UpstreamCrash& crash) {
        return crash.at_ms <= sent_ms && crash.requests.contains(digest);
      });
}

void SuspectTable::Expire(int64_t now_ms) {
  local_board_.Expire(now_ms);
}

int32_t SuspectTable::crashes(
    uint64_t digest,
    const std::vector<UpstreamCrash>& unconfirmed) const {
  const bool is_unconfirmed = std::any_of(
      unconfirmed.begin(), unconfirmed.end(),
      [digest](const auto& crash) { return crash.requests.contains(digest); });
  const auto found = listed_.find(digest);
  const int32_t listed =
      found == listed_.end() ? 0 : found->second + (is_unconfirmed ? 1 : 0);
  return std::max(listed, local_board_.crashes(digest, unconfirmed));
}

uint64_t RequestDigest(const HttpRequest& request, const CallerRequest& info) {
  RunningChecksum sum;
  for (const std::string* part :
       {&request.head.method, &request.head.target, &info.affinity}) {
    sum.Add(*part);
    sum.Add("\n");
  }
  sum.Add(request.body);
  return sum.value();
}

}  // namespace ring
