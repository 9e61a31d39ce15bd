#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fakes/fake_clock.h"
#include "persimmonring/wire.h"

namespace ring::fakes {

/// Single-threaded network of hubs on a fake clock. The test sets the delay and
/// the rules that drop frames and cut links. A cut link closes its sessions at
/// once, whereas a real hub notices only after its silence limit.
class FakeNet {
 public:
  using Receiver = std::function<
      void(SessionHandle session, const PeerInfo& peer, const Frame& frame)>;
  /// @returns true to drop the frame
  using DropRule = std::function<bool(size_t from, size_t to, const Frame&)>;

  explicit FakeNet(FakeClock& clock) : clock_(clock) {}

  /// @returns the hub of a new node, owned by this network
  HubI& Add(const PeerInfo& info) {
    by_name_[info.node] = nodes_.size();
    nodes_.push_back(std::make_unique<Node>(*this, nodes_.size(), info));
    return *nodes_.back();
  }
  void SetReceiver(size_t node, Receiver receiver) {
    nodes_[node]->receiver = std::move(receiver);
  }
  static Endpoint EndpointOf(size_t node) {
    return {.ip = "127.0.0.1",
            .port = static_cast<uint16_t>(kFirstPort + node)};
  }

  /// Delivers all frames whose delay has passed.
  void Deliver() {
    while (!queue_.empty() && queue_.begin()->first <= clock_.NowMs()) {
      const Message message = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      if (IsUp(message.from, message.to)) {
        nodes_[message.to]->receiver({message.from + 1},
                                     nodes_[message.from]->info, message.frame);
      }
    }
  }

  bool IsUp(size_t a, size_t b) const { return !cut || !cut(a, b); }

  int64_t delay_ms = 1;                     ///< From sending to delivery.
  DropRule drop;                            ///< Empty: nothing is dropped.
  std::function<bool(size_t, size_t)> cut;  ///< Empty: all links are up.
  uint64_t sent_bytes = 0;  ///< Total size of the encoded frames.
  uint64_t sent_frames = 0;

 private:
  static constexpr uint16_t kFirstPort = 1'000;
  static size_t IndexOf(const Endpoint& endpoint) {
    return static_cast<size_t>(endpoint.port - kFirstPort);
  }

  struct Message {
    size_t from;
    size_t to;
    Frame frame;
  };

  struct Node final : public HubI {
    Node(FakeNet& owner, size_t number, PeerInfo peer)
        : net(owner), index(number), info(std::move(peer)) {}

    void Connect(const Endpoint& endpoint) override {
      net.links_.insert({index, IndexOf(endpoint)});
    }
    void Disconnect(const Endpoint& endpoint) override {
      net.links_.erase({index, IndexOf(endpoint)});
    }
    Status Send(SessionHandle session, const Frame& frame) override {
      const size_t to = session.value - 1;
      if (!net.HasSession(index, to)) {
        return Refusal{Reason::kOwnerUnreachable, RunState::kNotRun, "closed"};
      }
      ++net.sent_frames;
      net.sent_bytes += EncodeFrame(frame, {}, false).size();
      if (!net.drop || !net.drop(index, to, frame)) {
        net.queue_.emplace(net.clock_.NowMs() + net.delay_ms,
                           Message{index, to, frame});
      }
      return Done{};
    }
    SessionHandle FindByEndpoint(const Endpoint& endpoint) const override {
      const size_t i = IndexOf(endpoint);
      return net.HasSession(index, i) ? SessionHandle{i + 1} : SessionHandle{};
    }
    SessionHandle FindByNode(const std::string& name) const override {
      const auto it = net.by_name_.find(name);
      return it != net.by_name_.end() && net.HasSession(index, it->second)
                 ? SessionHandle{it->second + 1}
                 : SessionHandle{};
    }

    FakeNet& net;
    const size_t index;
    const PeerInfo info;
    Receiver receiver;
  };

  bool HasSession(size_t a, size_t b) const {
    return a != b && b < nodes_.size() && IsUp(a, b) &&
           (links_.contains({a, b}) || links_.contains({b, a}));
  }

  FakeClock& clock_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unordered_map<std::string, size_t> by_name_;
  std::set<std::pair<size_t, size_t>> links_;
  std::multimap<int64_t, Message> queue_;
};

}  // namespace ring::fakes
