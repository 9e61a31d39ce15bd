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

/// What an entry believes of requests that crash upstreams: the list of the
/// state group and the crashes that it has seen itself, which hold while no
/// keeper is in reach.
class SuspectTable {
 public:
  /// Takes a list of a keeper, unless it is older than the one held.
  /// @returns the requests that are new in it or whose crashes have changed
  std::vector<SuspectedRequest> SetList(
      uint64_t version,
      const std::vector<SuspectedRequest>& requests);
  void OnCrash(const UpstreamCrash& crash) { own_.Report(crash); }
  /// @returns true if this entry sent the request after it had seen it crash an
  ///          upstream
  bool IsRepeat(uint64_t digest, int64_t sent_ms) const;
  /// A request was answered with success.
  /// @returns true if the keepers suspect it
  bool OnSuccess(uint64_t digest, int64_t now_ms);
  /// @returns true if the request was answered with success a moment ago
  bool AnsweredLately(uint64_t digest, int64_t now_ms) const;
  void Expire(int64_t now_ms);
  /// @param open crashes that are not confirmed, in the order of their times
  /// @returns crashes that the request may have caused, one after the other
  int32_t crashes(uint64_t digest,
                  const std::vector<UpstreamCrash>& open = {}) const;
  bool empty() const { return listed_.empty() && own_.empty(); }
  uint64_t version() const { return version_; }

 private:
  uint64_t version_ = 0;
  std::unordered_map<uint64_t, int32_t> listed_;
  CrashTracker own_;
  std::unordered_map<uint64_t, int64_t> answered_;    ///< Time by digest.
  std::deque<std::pair<int64_t, uint64_t>> answers_;  ///< In their order.
};

/// @returns what the same request has in common with its repetitions
uint64_t RequestDigest(const HttpRequest& request, const CallerRequest& info);

}  // namespace ring
