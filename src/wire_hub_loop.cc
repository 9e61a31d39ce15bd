#include <algorithm>

#include <sys/epoll.h>
#include <unistd.h>

#include "wire_hub_p.h"
#include "wire_socket_p.h"

namespace ring {
namespace {

constexpr int kMaxEvents = 128;
constexpr int64_t kCheckPeriodMs = 50;
constexpr int64_t kMetricsPeriodMs = 1'000;
// Largest reconnect delay, as a multiple of Init::reconnect_delay_ms.
constexpr int64_t kMaxReconnectFactor = 5;
// Largest frame accepted from a peer before its Hello; bounds the memory that
// an unidentified peer can occupy.
constexpr size_t kMaxHelloBytes = 4'096;

wire::Link ClassifyLink(const Hub::Init& init, const PeerInfo& peer) {
  if (peer.region != init.region) {
    return wire::Link::kOtherRegion;
  }
  return peer.domain == init.domain ? wire::Link::kDomain : wire::Link::kRegion;
}

}  // namespace

Status Hub::Impl::Run(const StopToken& stop) {
  network_thread_.store(std::this_thread::get_id());
  epoll_event events[kMaxEvents];
  while (!stop.stopped()) {
    const int count = epoll_wait(epoll_fd_, events, kMaxEvents, kCheckPeriodMs);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == 0) {
        uint64_t value = 0;
        [[maybe_unused]] const ssize_t got =
            read(event_fd_, &value, sizeof(value));
        wake_pending_.store(false);
        StartConnects();
      } else if (events[i].data.u64 == UINT64_MAX) {
        AcceptAll();
      } else if (const auto session = Find(events[i].data.u64)) {
        OnReady(session, events[i].events);
      }
    }
    FlushQueued();
    // If the event list is full, further sessions may have unread data;
    // checking the timeouts now could close them as silent.
    if (count < kMaxEvents && now() >= next_check_ms_) {
      next_check_ms_ = now() + kCheckPeriodMs;
      CheckTimeouts();
      StartConnects();
    }
    FlushMetrics();
  }
  CloseAll();
  network_thread_.store(std::thread::id());
  return Done{};
}

Hub::Impl::SessionPtr Hub::Impl::AddSession(int fd,
                                            std::optional<Endpoint> target) {
  SessionPtr session;
  {
    std::lock_guard lock(mutex_);
    if (sessions_.size() >= init_.max_sessions) {
      close(fd);
      return nullptr;
    }
    const SessionHandle handle{next_handle_++};
    session = std::make_shared<wire::Session>(handle, fd, std::move(target));
    sessions_[handle.value] = session;
  }
  session->created_ms = now();
  session->last_received_ms = session->created_ms;
  session->last_sent_ms = session->created_ms;
  epoll_event event = {};
  session->epoll_events = session->target ? EPOLLIN | EPOLLOUT : EPOLLIN;
  event.events = session->epoll_events;
  event.data.u64 = session->handle.value;
  RING_CHECK(epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) == 0);
  return session;
}

void Hub::Impl::AcceptAll() {
  while (true) {
    const int fd = wire::Accept(listen_fd_);
    if (fd < 0) {
      return;
    }
    const auto session = AddSession(fd, std::nullopt);
    if (!session) {
      metrics::CountRefusal(Reason::kConnectionLimit);
      Event(LogLevel::kWarn, "wire_session_refused")
          .Add("reason", Reason::kConnectionLimit);
      continue;
    }
    SendHello(session);
  }
}

void Hub::Impl::StartConnects() {
  std::vector<Endpoint> due;
  std::vector<uint64_t> ended;
  {
    std::lock_guard lock(mutex_);
    for (auto it = targets_.begin(); it != targets_.end();) {
      auto& target = it->second;
      if (target.removed) {
        ended.push_back(target.session);
        it = targets_.erase(it);
        continue;
      }
      if (target.session == 0 && !target.is_self &&
          now() >= target.retry_at_ms) {
        due.push_back(it->first);
      }
      ++it;
    }
  }
  for (const uint64_t handle : ended) {
    if (const auto session = Find(handle)) {
      Close(session, Reason::kCancelled);
    }
  }
  for (const auto& endpoint : due) {
    const int fd = wire::StartConnect(endpoint);
    const auto session = fd < 0 ? nullptr : AddSession(fd, endpoint);
    std::lock_guard lock(mutex_);
    auto& target = targets_[endpoint];
    if (!session) {
      ScheduleReconnect(target);
      continue;
    }
    session->connecting = true;
    session->connect_timeout_ms =
        std::max(target.connect_timeout_ms, init_.connect_timeout_ms);
    target.session = session->handle.value;
  }
}

void Hub::Impl::OnReady(const SessionPtr& session, uint32_t events) {
  if (session->connecting) {
    if (!wire::ConnectSucceeded(session->fd)) {
      SetConnectTimeout(session, 0);
      Close(session, Reason::kUpstreamRefused);
      return;
    }
    if ((events & EPOLLOUT) == 0) {
      return;
    }
    session->connecting = false;
    session->last_received_ms = now();
    SendHello(session);
    return;
  }
  if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) {
    ReadFrames(session);
  }
  if ((events & EPOLLOUT) != 0 && Find(session->handle.value)) {
    Flush(session);
  }
}

void Hub::Impl::ReadFrames(const SessionPtr& session) {
  const auto result = session->Read();
  session->last_received_ms = now();
  // Frames received before the connection ended are still processed.
  while (auto frame = session->NextFrame(session->open ? kMaxFrameBytes
                                                       : kMaxHelloBytes)) {
    if (!*frame) {
      const Refusal& refusal = frame->refusal();
      refused_frames_.fetch_add(1);
      metrics::Count("ring_wire_refused_frames_total",
                     {{"reason", ToString(refusal.reason)}});
      Event(LogLevel::kWarn, "wire_frame_refused")
          .Add("peer", session->peer.node)
          .Add("reason", refusal.reason)
          .Add("detail", refusal.message);
      Close(session, refusal.reason);
      return;
    }
    OnSessionFrame(session, **frame);
    if (!Find(session->handle.value)) {
      return;
    }
  }
  if (result == wire::IoResult::kClosed) {
    Close(session, Reason::kUpstreamReset);
  }
}

void Hub::Impl::OnSessionFrame(const SessionPtr& session, const Frame& frame) {
  const bool hello = frame.kind == FrameKind::Hello;
  // The first frame, and only the first, must be a Hello.
  if (hello == session->open) {
    refused_frames_.fetch_add(1);
    metrics::Count("ring_wire_refused_frames_total",
                   {{"reason", ToString(Reason::kCorruptData)}});
    Close(session, Reason::kCorruptData);
    return;
  }
  if (hello) {
    OnHello(session, frame);
    return;
  }
  if (frame.kind != FrameKind::Ping && frame.kind != FrameKind::Pong) {
    listener_.OnFrame(session->handle, session->peer, frame);
  }
}

void Hub::Impl::OnHello(const SessionPtr& session, const Frame& frame) {
  const auto hello = wire::DecodeHello(frame.payload);
  if (!hello) {
    refused_frames_.fetch_add(1);
    Close(session, Reason::kCorruptData);
    return;
  }
  if (hello->ring != init_.ring) {
    Event(LogLevel::kWarn, "wire_version_mismatch")
        .Add("peer", hello->peer.node)
        .Add("peer_ring", hello->ring)
        .Add("ring", init_.ring);
    Close(session, Reason::kVersionMismatch);
    return;
  }
  if (hello->peer.node == init_.node &&
      hello->peer.incarnation == incarnation_) {
    if (session->target) {
      std::lock_guard lock(mutex_);
      targets_[*session->target].is_self = true;
    }
    Close(session, Reason::kCancelled);
    return;
  }
  session->link = ClassifyLink(init_, hello->peer);
  session->peer = hello->peer;
  MarkOpen(session);
}

void Hub::Impl::MarkOpen(const SessionPtr& session) {
  {
    std::lock_guard lock(mutex_);
    session->open = true;
    sessions_by_node_[session->peer.node].insert(session->handle.value);
    if (session->target) {
      auto& target = targets_[*session->target];
      target.open = true;
      target.delay_ms = 0;
      target.disconnected_since_ms = 0;
    }
  }
  open_sessions_.fetch_add(1);
  Event(LogLevel::kInfo, "wire_session_opened").Add("peer", session->peer.node);
  listener_.OnOpened(session->handle, session->peer);
}

void Hub::Impl::SendHello(const SessionPtr& session) {
  const Frame hello{
      .kind = FrameKind::Hello,
      .payload = wire::EncodeHello({.ring = init_.ring,
                                    .peer = {.node = init_.node,
                                             .domain = init_.domain,
                                             .region = init_.region,
                                             .incarnation = incarnation_,
                                             .relay = init_.relay}})};
  session->Enqueue({.bytes = EncodeFrame(hello, init_.node, false)},
                   init_.max_queue_bytes);
  Flush(session);
}

void Hub::Impl::Flush(const SessionPtr& session) {
  if (session->wants_write()) {
    session->last_sent_ms = now();
  }
  if (session->Flush() == wire::IoResult::kClosed) {
    Close(session, Reason::kUpstreamReset);
    return;
  }
  UpdateInterest(session);
}

void Hub::Impl::UpdateInterest(const SessionPtr& session) {
  const uint32_t wanted = session->wants_write() ? EPOLLIN | EPOLLOUT : EPOLLIN;
  if (wanted == session->epoll_events) {
    return;
  }
  session->epoll_events = wanted;
  epoll_event event = {};
  event.events = wanted;
  event.data.u64 = session->handle.value;
  epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, session->fd, &event);
}

void Hub::Impl::FlushQueued() {
  std::vector<uint64_t> dirty;
  {
    std::lock_guard lock(mutex_);
    dirty.swap(flush_pending_);
  }
  std::sort(dirty.begin(), dirty.end());
  dirty.erase(std::unique(dirty.begin(), dirty.end()), dirty.end());
  for (const uint64_t handle : dirty) {
    if (const auto session = Find(handle)) {
      Flush(session);
    }
  }
}

void Hub::Impl::CheckTimeouts() {
  std::vector<SessionPtr> sessions;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [handle, session] : sessions_) {
      sessions.push_back(session);
    }
  }
  static const std::string ping = EncodeFrame({}, {}, false);
  for (const auto& session : sessions) {
    // Until the Hello, the timeout runs from the start of the session, even if
    // other bytes arrive.
    const int64_t last_activity_ms =
        session->open ? session->last_received_ms : session->created_ms;
    const int64_t timeout_ms = session->connecting ? session->connect_timeout_ms
                                                   : init_.receive_timeout_ms;
    if (now() - last_activity_ms >= timeout_ms) {
      SetConnectTimeout(session, session->connecting
                                     ? std::min(2 * session->connect_timeout_ms,
                                                init_.receive_timeout_ms)
                                     : 0);
      Close(session, session->connecting ? Reason::kUpstreamRefused
                                         : Reason::kUpstreamTimeout);
    } else if (session->open &&
               now() - session->last_sent_ms >= init_.ping_period_ms) {
      session->Enqueue({.bytes = ping}, init_.max_queue_bytes);
      Flush(session);
    }
  }
}

void Hub::Impl::SetConnectTimeout(const SessionPtr& session,
                                  int64_t timeout_ms) {
  std::lock_guard lock(mutex_);
  const auto target =
      session->target ? targets_.find(*session->target) : targets_.end();
  if (target != targets_.end()) {
    target->second.connect_timeout_ms = timeout_ms;
  }
}

void Hub::Impl::ScheduleReconnect(Target& target) const {
  if (target.disconnected_since_ms == 0) {
    target.disconnected_since_ms = now();
  }
  const bool constant_delay =
      now() - target.disconnected_since_ms < init_.fast_reconnect_ms;
  target.delay_ms =
      constant_delay ? init_.reconnect_delay_ms
                     : std::min(target.delay_ms * 2,
                                init_.reconnect_delay_ms * kMaxReconnectFactor);
  target.retry_at_ms = now() + target.delay_ms;
}

void Hub::Impl::Close(const SessionPtr& session, Reason reason) {
  bool was_open = false;
  {
    std::lock_guard lock(mutex_);
    if (sessions_.erase(session->handle.value) == 0) {
      return;
    }
    was_open = std::exchange(session->open, false);
    if (was_open) {
      auto it = sessions_by_node_.find(session->peer.node);
      it->second.erase(session->handle.value);
      if (it->second.empty()) {
        sessions_by_node_.erase(it);
      }
    }
    const auto target =
        session->target ? targets_.find(*session->target) : targets_.end();
    if (target != targets_.end() &&
        target->second.session == session->handle.value) {
      auto& state = target->second;
      state.session = 0;
      state.open = false;
      ScheduleReconnect(state);
    }
  }
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, session->fd, nullptr);
  CollectBytes(*session);
  if (was_open) {
    open_sessions_.fetch_sub(1);
    Event(LogLevel::kInfo, "wire_session_closed")
        .Add("peer", session->peer.node)
        .Add("reason", reason);
  }
  if (was_open || reason == Reason::kVersionMismatch) {
    listener_.OnClosed(session->handle, session->peer, reason);
  }
}

void Hub::Impl::CloseAll() {
  std::vector<SessionPtr> sessions;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [handle, session] : sessions_) {
      sessions.push_back(session);
    }
  }
  for (const auto& session : sessions) {
    Close(session, Reason::kCancelled);
  }
}

void Hub::Impl::CollectBytes(wire::Session& session) {
  const auto link = static_cast<size_t>(session.link);
  for (size_t traffic = 0; traffic < wire::kTrafficClassCount; ++traffic) {
    const uint64_t sent = std::exchange(session.sent_bytes[traffic], 0);
    const uint64_t received = std::exchange(session.received_bytes[traffic], 0);
    bytes_[0][traffic][link] += sent;
    bytes_[1][traffic][link] += received;
    sent_bytes_.fetch_add(sent);
    received_bytes_.fetch_add(received);
  }
}

void Hub::Impl::FlushMetrics() {
  if (now() < next_metrics_ms_) {
    return;
  }
  next_metrics_ms_ = now() + kMetricsPeriodMs;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [handle, session] : sessions_) {
      CollectBytes(*session);
    }
  }
  static constexpr const char* kDirections[] = {"sent", "received"};
  for (size_t direction = 0; direction < 2; ++direction) {
    for (size_t traffic = 0; traffic < wire::kTrafficClassCount; ++traffic) {
      for (size_t link = 0; link < wire::kLinkCount; ++link) {
        const uint64_t bytes =
            std::exchange(bytes_[direction][traffic][link], 0);
        if (bytes > 0) {
          metrics::Count(
              "ring_wire_bytes_total",
              {{"class", ToString(static_cast<wire::TrafficClass>(traffic))},
               {"link", ToString(static_cast<wire::Link>(link))},
               {"direction", kDirections[direction]}},
              static_cast<double>(bytes));
        }
      }
    }
  }
}

}  // namespace ring
