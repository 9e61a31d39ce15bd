#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "persimmonring/keeper.h"

namespace ring {

/// Ring and keepers to connect to.
struct ConnectionInit {
  std::string ring;
  std::vector<Endpoint> keepers;
  int64_t timeout_ms = 3'000;  ///< Longest wait for an answer.
};

/// Sessions with the keepers of a ring, served by a network thread.
class Connection final : public HubListenerI {
 public:
  /// Connects to all keepers and waits for the first one to answer, then for a
  /// short time for the others.
  /// @returns owner_unreachable if no keeper answered
  static Outcome<std::unique_ptr<Connection>> Open(const ConnectionInit& init);
  ~Connection() override;

  KeeperClient& client() { return *client_; }
  /// Keepers with an open session, by node name.
  std::map<std::string, PeerInfo> peers() const;
  /// @returns keepers without an open session
  std::vector<Endpoint> unreachable() const;

  void OnOpened(SessionHandle session, const PeerInfo& peer) override;
  void OnFrame(SessionHandle session,
               const PeerInfo& peer,
               const Frame& frame) override;
  void OnClosed(SessionHandle session,
                const PeerInfo& peer,
                Reason reason) override;

 private:
  explicit Connection(const ConnectionInit& init) : init_(init) {}
  Status Start();
  void WaitForKeepers();

  const ConnectionInit init_;
  std::unique_ptr<Hub> hub_;
  std::unique_ptr<KeeperClient> client_;
  std::unique_ptr<Supervisor> supervisor_;
  mutable std::mutex mutex_;
  std::condition_variable peers_changed_;
  std::map<std::string, PeerInfo> peers_;
  Reason last_close_reason_ = Reason::kNone;
};

}  // namespace ring
