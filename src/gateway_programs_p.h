#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace ring {

/// Programs whose requests this entry has sent. The first turn of a sub-agent
/// continues no turn, like the first turn of a program; callers send most
/// requests of a program through the same entry. A program that only other
/// entries know counts as a new one.
class RecentPrograms {
 public:
  void Record(const std::string& program, int64_t now_ms);
  bool Contains(const std::string& program) const {
    return last_ms_.contains(program);
  }
  size_t size() const { return last_ms_.size(); }

 private:
  void Forget(int64_t now_ms);

  std::unordered_map<std::string, int64_t> last_ms_;
  /// Every record, oldest first.
  std::deque<std::pair<int64_t, std::string>> records_;
};

}  // namespace ring
