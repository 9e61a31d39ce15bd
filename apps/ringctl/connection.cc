#include "connection.h"

#include <chrono>

namespace ring {
namespace {

/// Wait for the other keepers once the first one has answered. A failed
/// connection is retried after 200 ms, so a running keeper answers in time.
constexpr int64_t kOtherKeepersWaitMs = 400;

}  // namespace

Outcome<std::unique_ptr<Connection>> Connection::Open(
    const ConnectionInit& init) {
  std::unique_ptr<Connection> connection(new Connection(init));
  if (Status status = connection->Start(); !status) {
    return status.refusal();
  }
  connection->WaitForKeepers();
  if (connection->peers().empty()) {
    std::string text = "no keeper answered at";
    for (const Endpoint& keeper : init.keepers) {
      text += " " + keeper.ToString();
    }
    if (connection->last_close_reason_ != Reason::kNone) {
      text +=
          std::string(" (") + ToString(connection->last_close_reason_) + ")";
    }
    return Refusal{Reason::kOwnerUnreachable, RunState::kNotRun, text};
  }
  return connection;
}

Status Connection::Start() {
  constexpr size_t kNodeSuffixBytes = 4;
  Hub::Init hub;
  hub.ring = init_.ring;
  hub.node = "ringctl-" + RandomHex(kNodeSuffixBytes);
  auto created = Hub::Create(hub, *this);
  if (!created) {
    return created.refusal();
  }
  hub_ = std::move(*created);
  KeeperClientInit client;
  client.node = hub.node;
  client.keepers = init_.keepers;
  client.timeout_ms = init_.timeout_ms;
  client_ = std::make_unique<KeeperClient>(client, *hub_, SystemClock());
  supervisor_ = std::make_unique<Supervisor>(Supervisor::Init{"ringctl"});
  supervisor_->AddWorker(
      "network", [this](const StopToken& stop) { return hub_->Run(stop); },
      [this] { hub_->Wake(); });
  supervisor_->Start();
  return Done{};
}

void Connection::WaitForKeepers() {
  const auto all = [this] { return peers_.size() >= init_.keepers.size(); };
  std::unique_lock lock(mutex_);
  peers_changed_.wait_for(lock, std::chrono::milliseconds(init_.timeout_ms),
                          [this] { return !peers_.empty(); });
  if (!peers_.empty()) {
    peers_changed_.wait_for(
        lock, std::chrono::milliseconds(kOtherKeepersWaitMs), all);
  }
}

Connection::~Connection() {
  if (supervisor_) {
    supervisor_->Stop();
  }
}

std::map<std::string, PeerInfo> Connection::peers() const {
  std::lock_guard lock(mutex_);
  return peers_;
}

std::vector<Endpoint> Connection::unreachable() const {
  std::vector<Endpoint> endpoints;
  for (const Endpoint& keeper : init_.keepers) {
    if (!IsValid(hub_->FindByEndpoint(keeper))) {
      endpoints.push_back(keeper);
    }
  }
  return endpoints;
}

void Connection::OnOpened(SessionHandle /*session*/, const PeerInfo& peer) {
  std::lock_guard lock(mutex_);
  peers_[peer.node] = peer;
  peers_changed_.notify_all();
}

void Connection::OnFrame(SessionHandle session,
                         const PeerInfo& peer,
                         const Frame& frame) {
  client_->OnFrame(session, peer, frame);
}

void Connection::OnClosed(SessionHandle session,
                          const PeerInfo& peer,
                          Reason reason) {
  client_->OnClosed(session);
  std::lock_guard lock(mutex_);
  peers_.erase(peer.node);
  last_close_reason_ = reason;
}

}  // namespace ring
