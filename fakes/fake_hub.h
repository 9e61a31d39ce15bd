#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "persimmonring/wire.h"

namespace ring {

/// In-memory network that delivers frames synchronously on the sender's thread.
/// Links between nodes can be cut. Thread-safe.
class SyncFakeNet {
 public:
  /// Adds a node and calls OnOpened on both sides for each existing node.
  void Add(const std::string& node, HubListenerI& listener) {
    std::lock_guard lock(mutex_);
    listeners_[node] = &listener;
    for (const auto& [other, peer] : listeners_) {
      if (other != node) {
        listener.OnOpened(SessionOf(node, other), {.node = other});
        peer->OnOpened(SessionOf(other, node), {.node = node});
      }
    }
  }
  /// Removes a node. None of its callbacks runs after this returns.
  void Remove(const std::string& node) {
    std::lock_guard lock(mutex_);
    listeners_.erase(node);
  }
  void Cut(const std::string& a, const std::string& b) {
    std::lock_guard lock(mutex_);
    cut_links_.insert({a, b});
    cut_links_.insert({b, a});
  }
  void Isolate(const std::string& node, const std::vector<std::string>& from) {
    for (const std::string& other : from) {
      if (other != node) {
        Cut(node, other);
      }
    }
  }
  void Heal() {
    std::lock_guard lock(mutex_);
    cut_links_.clear();
  }

  Status Deliver(const std::string& from,
                 const std::string& to,
                 const Frame& frame) {
    std::lock_guard lock(mutex_);
    const auto target = listeners_.find(to);
    if (target == listeners_.end() || cut_links_.contains({from, to})) {
      return Refusal{.reason = Reason::kOwnerUnreachable};
    }
    target->second->OnFrame(SessionOf(to, from), {.node = from}, frame);
    return Done{};
  }
  bool Reaches(const std::string& from, const std::string& to) {
    std::lock_guard lock(mutex_);
    return listeners_.contains(to) && !cut_links_.contains({from, to});
  }

  SessionHandle SessionOf(const std::string& from, const std::string& to) {
    std::lock_guard lock(mutex_);
    return {NodeNumber(from) * kMaxNodes + NodeNumber(to)};
  }
  std::string PeerOf(SessionHandle session) {
    std::lock_guard lock(mutex_);
    return names_[session.value % kMaxNodes];
  }

 private:
  static constexpr uint64_t kMaxNodes = 1'000;

  uint64_t NodeNumber(const std::string& node) {
    for (size_t i = 0; i < names_.size(); ++i) {
      if (names_[i] == node) {
        return i;
      }
    }
    names_.push_back(node);
    return names_.size() - 1;
  }

  std::recursive_mutex mutex_;
  std::map<std::string, HubListenerI*> listeners_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::vector<std::string> names_ = {""};
};

/// Hub of one node of a SyncFakeNet.
class FakeHub final : public HubI {
 public:
  FakeHub(SyncFakeNet& net, std::string node)
      : net_(net), node_(std::move(node)) {}

  void Connect(const Endpoint& /*endpoint*/) override {}
  void Disconnect(const Endpoint& /*endpoint*/) override {}
  Status Send(SessionHandle session, const Frame& frame) override {
    return net_.Deliver(node_, net_.PeerOf(session), frame);
  }
  SessionHandle FindByEndpoint(const Endpoint& /*endpoint*/) const override {
    return {};
  }
  SessionHandle FindByNode(const std::string& node) const override {
    return net_.Reaches(node_, node) ? net_.SessionOf(node_, node)
                                     : SessionHandle{};
  }

 private:
  SyncFakeNet& net_;
  const std::string node_;
};

}  // namespace ring
