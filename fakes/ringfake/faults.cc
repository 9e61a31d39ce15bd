#include "fakes/ringfake/faults.h"

#include <set>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ring::fakes {

bool Faults::Set(const nlohmann::json& fault) {
  static const std::set<std::string> kinds = {"crash_on_text",
                                              "reset_before_headers",
                                              "reset_after_headers",
                                              "stall",
                                              "truncate_after_tokens",
                                              "slow_factor",
                                              "refuse",
                                              "wrong_attempt_id",
                                              "duplicate_event",
                                              "leave",
                                              "close_before",
                                              "close_after",
                                              "die_before",
                                              "die_after",
                                              "clear"};
  const std::string kind = fault.value("kind", "");
  if (!kinds.contains(kind)) {
    return false;
  }
  std::lock_guard lock(mutex_);
  if (kind == "clear") {
    faults_.clear();
  } else {
    faults_[kind] = {fault, fault.value("count", int64_t{1})};
  }
  return true;
}

std::optional<nlohmann::json> Faults::Take(const std::string& kind) {
  std::lock_guard lock(mutex_);
  const auto it = faults_.find(kind);
  if (it == faults_.end() || it->second.left == 0) {
    return std::nullopt;
  }
  if (it->second.left > 0) {
    --it->second.left;
  }
  return it->second.parameters;
}

bool Faults::Crashes(const std::string& body) const {
  std::lock_guard lock(mutex_);
  const auto it = faults_.find("crash_on_text");
  if (it == faults_.end()) {
    return false;
  }
  const std::string text = it->second.parameters.value("text", "");
  return !text.empty() && body.find(text) != std::string::npos;
}

void ResetConnection(int local_port, int remote_port) {
  // cpp-httplib does not expose the socket of a request, so the descriptor is
  // looked up by its two ports.
  rlimit limit = {};
  getrlimit(RLIMIT_NOFILE, &limit);
  for (int fd = 0; fd < static_cast<int>(limit.rlim_cur); ++fd) {
    sockaddr_in local = {};
    sockaddr_in remote = {};
    socklen_t size = sizeof(local);
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size) != 0 ||
        ntohs(local.sin_port) != local_port) {
      continue;
    }
    size = sizeof(remote);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&remote), &size) == 0 &&
        ntohs(remote.sin_port) == remote_port) {
      // On Linux, connecting to AF_UNSPEC makes the kernel send a reset.
      sockaddr none = {};
      none.sa_family = AF_UNSPEC;
      static_cast<void>(connect(fd, &none, sizeof(none)));
      return;
    }
  }
}

void Crash() {
  constexpr int kCrashExit = 99;
  _exit(kCrashExit);
}

}  // namespace ring::fakes
