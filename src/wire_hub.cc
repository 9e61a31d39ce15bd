#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "wire_hub_p.h"
#include "wire_socket_p.h"

namespace ring {
namespace {

void Watch(int epoll_fd, int fd, uint64_t key) {
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = key;
  RING_CHECK(epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0);
}

}  // namespace

Hub::Impl::Impl(const Init& init, HubListenerI& listener, int listen_fd)
    : init_(init),
      incarnation_(static_cast<uint64_t>(SystemClock().WallMs())),
      listener_(listener),
      listen_fd_(listen_fd),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      event_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  RING_CHECK(epoll_fd_ >= 0 && event_fd_ >= 0);
  // Sessions use their handle as epoll key, starting at 1. The keys 0 and
  // UINT64_MAX denote the eventfd and the listening socket.
  Watch(epoll_fd_, event_fd_, 0);
  if (listen_fd_ >= 0) {
    Watch(epoll_fd_, listen_fd_, UINT64_MAX);
  }
}

Hub::Impl::~Impl() {
  sessions_.clear();
  if (listen_fd_ >= 0) {
    close(listen_fd_);
  }
  close(event_fd_);
  close(epoll_fd_);
}

void Hub::Impl::Connect(const Endpoint& endpoint) {
  {
    std::lock_guard lock(mutex_);
    auto& target = targets_[endpoint];
    target.removed = false;
  }
  Wake();
}

void Hub::Impl::Disconnect(const Endpoint& endpoint) {
  {
    std::lock_guard lock(mutex_);
    const auto it = targets_.find(endpoint);
    if (it == targets_.end()) {
      return;
    }
    it->second.removed = true;
  }
  Wake();
}

Hub::Impl::SessionPtr Hub::Impl::Find(uint64_t handle) const {
  std::lock_guard lock(mutex_);
  const auto it = sessions_.find(handle);
  return it == sessions_.end() ? nullptr : it->second;
}

Status Hub::Impl::Send(SessionHandle handle, const Frame& frame) {
  // Upper bound of the encoded size without payload and group.
  constexpr size_t kTableBytes = 1'024;
  if (frame.payload.size() + frame.group.size() + kTableBytes >
      kMaxFrameBytes) {
    return Refusal{Reason::kBodyTooLarge, RunState::kNotRun,
                   "the payload of " + std::to_string(frame.payload.size()) +
                       " bytes exceeds the frame size limit"};
  }
  SessionPtr session;
  {
    std::lock_guard lock(mutex_);
    const auto it = sessions_.find(handle.value);
    if (it == sessions_.end() || !it->second->open) {
      return Refusal{Reason::kOwnerUnreachable, RunState::kNotRun,
                     "the session is closed"};
    }
    session = it->second;
  }
  const bool compress = session->link == wire::Link::kOtherRegion;
  wire::OutgoingFrame out{.bytes = EncodeFrame(frame, {}, compress),
                          .traffic = wire::TrafficClassOf(frame.kind)};
  if (!session->Enqueue(std::move(out), init_.max_queue_bytes)) {
    metrics::CountRefusal(Reason::kQueueFull);
    return Refusal{Reason::kQueueFull, RunState::kNotRun,
                   "the send queue is full"};
  }
  {
    std::lock_guard lock(mutex_);
    flush_pending_.push_back(handle.value);
  }
  if (network_thread_.load() != std::this_thread::get_id()) {
    Wake();
  }
  return Done{};
}

SessionHandle Hub::Impl::FindByEndpoint(const Endpoint& endpoint) const {
  std::lock_guard lock(mutex_);
  const auto it = targets_.find(endpoint);
  return it == targets_.end() || !it->second.open
             ? SessionHandle{}
             : SessionHandle{it->second.session};
}

SessionHandle Hub::Impl::FindByNode(const std::string& node) const {
  std::lock_guard lock(mutex_);
  const auto it = sessions_by_node_.find(node);
  return it == sessions_by_node_.end() ? SessionHandle{}
                                       : SessionHandle{*it->second.begin()};
}

Hub::Stats Hub::Impl::stats() const {
  return {.sent_bytes = sent_bytes_.load(),
          .received_bytes = received_bytes_.load(),
          .open_sessions = open_sessions_.load(),
          .refused_frames = refused_frames_.load()};
}

void Hub::Impl::Wake() {
  if (wake_pending_.exchange(true)) {
    return;
  }
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(event_fd_, &one, sizeof(one));
}

Outcome<std::unique_ptr<Hub>> Hub::Create(const Init& init,
                                          HubListenerI& listener) {
  int listen_fd = -1;
  if (IsValid(init.listen)) {
    auto opened = wire::Listen(init.listen);
    if (!opened) {
      return opened.refusal();
    }
    listen_fd = *opened;
  }
  return std::unique_ptr<Hub>(
      new Hub(std::make_unique<Impl>(init, listener, listen_fd)));
}

Hub::Hub(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Hub::~Hub() = default;

void Hub::Connect(const Endpoint& endpoint) {
  impl_->Connect(endpoint);
}

void Hub::Disconnect(const Endpoint& endpoint) {
  impl_->Disconnect(endpoint);
}

Status Hub::Send(SessionHandle session, const Frame& frame) {
  return impl_->Send(session, frame);
}

SessionHandle Hub::FindByEndpoint(const Endpoint& endpoint) const {
  return impl_->FindByEndpoint(endpoint);
}

SessionHandle Hub::FindByNode(const std::string& node) const {
  return impl_->FindByNode(node);
}

Hub::Stats Hub::stats() const {
  return impl_->stats();
}

Status Hub::Run(const StopToken& stop) {
  return impl_->Run(stop);
}

void Hub::Wake() {
  impl_->Wake();
}

}  // namespace ring
