#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "persimmonring/keeper.h"

namespace ring {

/// How ringctl reaches the keepers of a ring.
struct ConnectionInit {
  std::string ring;
  std::vector<Endpoint> keepers;
  int64_t timeout_ms = 3'000;
};

/// Sessions with the keepers, on a network thread of their own.
class Connection final : public HubListenerI {
 public:
  /// Connects and waits until all keepers have answered, or some of them and
  /// then a short while.
  /// @returns owner_unreachable if no keeper answered
  static Outcome<std::unique_ptr<Connection>> Open(const ConnectionInit& init);
  ~Connection() override;

  KeeperClient& client() { return *client_; }
  /// Keepers that answered, by node.
  std::map<std::string, PeerInfo> peers() const;
  /// @returns keepers without a session
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
  std::condition_variable changed_;
  std::map<std::string, PeerInfo> peers_;
  Reason last_close_ = Reason::kNone;
};

}  // namespace ring
