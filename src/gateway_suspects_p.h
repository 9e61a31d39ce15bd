#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmonring/gateway.h"
#include "persimmonring/net.h"

namespace ring {

/// Requests that an entry suspects of crashing upstreams: those on the list of
/// the state group and those of crashes that the entry has detected itself,
/// which also count while no keeper is reachable.
class SuspectTable {
 public:
  /// Applies a keeper's list, unless it is older than the current one.
  /// @returns the requests that are new in it or whose number of crashes
  ///          changed
  std::vector<SuspectedRequest> ApplyList(
      uint64_t version,
      const std::vector<SuspectedRequest>& requests);
  void OnCrash(const UpstreamCrash& crash) { local_board_.Report(crash); }
  /// @returns true if this entry sent the request after it had detected a crash
  ///          by the same request
  bool IsRepeat(uint64_t digest, int64_t sent_ms) const;
  /// Records that a request was answered successfully.
  /// @returns true if the keepers suspect the request
  bool OnSuccess(uint64_t digest, int64_t now_ms);
  /// @returns true if the request was answered successfully a short time ago
  bool AnsweredLately(uint64_t digest, int64_t now_ms) const;
  void Expire(int64_t now_ms);
  /// @param unconfirmed crashes under a health check, ordered by time
  /// @returns number of successive crashes that the request may have caused
  int32_t crashes(uint64_t digest,
                  const std::vector<UpstreamCrash>& unconfirmed = {}) const;
  bool empty() const { return listed_.empty() && local_board_.empty(); }
  uint64_t version() const { return version_; }

 private:
  uint64_t version_ = 0;
  std::unordered_map<uint64_t, int32_t> listed_;
  CrashTracker local_board_;
  /// Time of the answer, by digest.
  std::unordered_map<uint64_t, int64_t> answered_;
  /// Time and digest, oldest first.
  std::deque<std::pair<int64_t, uint64_t>> answers_;
};

/// @returns a digest that is the same for all repetitions of a request
uint64_t RequestDigest(const HttpRequest& request, const CallerRequest& info);

}  // namespace ring
