#include "entry_scheduler_p.h"

#include <algorithm>

namespace ring::entry {
namespace {

// Longest interval between decisions while calls wait. Bounds the delay until
// passed deadlines and changes of the directory are noticed.
constexpr int64_t kDecisionPeriodMs = 20;

uint64_t ChooseSeed(const EntryInit& init) {
  return init.seed != 0 ? init.seed : std::random_device{}();
}

template <typename List, typename Value>
bool Contains(const List& list, const Value& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

bool Serves(const UpstreamRecord& record, const CallRequest& request) {
  if (request.kind == CallKind::kModel) {
    return record.kind == UpstreamKind::kEngine &&
           Contains(record.models, request.model);
  }
  return record.kind == UpstreamKind::kService &&
         Contains(record.services, request.service);
}

Scheduler::Scheduler(const EntryInit& init,
                     const EntryDependencies& deps,
                     UpstreamTable& upstreams,
                     CallStatistics& statistics,
                     BoundedQueue<AttemptTask>& tasks)
    : init_(init),
      deps_(deps),
      upstreams_(upstreams),
      statistics_(statistics),
      tasks_(tasks),
      submissions_(static_cast<size_t>(init.call_limits.max_queue)),
      rng_(ChooseSeed(init)) {}

void Scheduler::SetRefusalHandler(
    std::function<void(const CallPtr&, const Refusal&)> refuse) {
  refusal_handler_ = std::move(refuse);
}

bool Scheduler::Submit(const CallPtr& call) {
  const auto limit = static_cast<size_t>(init_.call_limits.max_queue);
  if (waiting_.fetch_add(1) >= limit) {
    waiting_.fetch_sub(1);
    return false;
  }
  CallPtr item = call;
  if (!submissions_.TryPush(std::move(item))) {
    waiting_.fetch_sub(1);
    return false;
  }
  return true;
}

void Scheduler::Resubmit(const CallPtr& call) {
  waiting_.fetch_add(1);
  {
    std::lock_guard lock(resubmitted_mutex_);
    resubmitted_.push_back(call);
  }
  Wake();
}

void Scheduler::Wake() {
  // If the buffer is full, the thread has a reason to wake already.
  submissions_.TryPush(nullptr);
}

void Scheduler::Stop() {
  submissions_.Close();
}

int64_t Scheduler::ExpectedWaitMs() const {
  int64_t slots = 0;
  for (const UpstreamRecord& record : deps_.directory->View()->upstreams) {
    if (record.kind == UpstreamKind::kEngine &&
        record.state == MemberState::kUp) {
      slots += record.max_in_flight > 0 ? record.max_in_flight
                                        : init_.call_limits.engine_in_flight;
    }
  }
  const auto queued = static_cast<int64_t>(waiting_.load());
  return std::max<int64_t>(
      200, (queued + 1) * mean_call_ms_.load() / std::max<int64_t>(1, slots));
}

void Scheduler::OnCallDuration(int64_t total_ms) {
  constexpr int64_t kWeight = 8;
  const int64_t mean_ms = mean_call_ms_.load();
  mean_call_ms_.store(mean_ms + (total_ms - mean_ms) / kWeight);
}

Status Scheduler::Run(const StopToken& stop) {
  while (!stop.stopped()) {
    Step(queue_.empty() ? 100 : kDecisionPeriodMs);
  }
  return Done{};
}

void Scheduler::Step(int64_t wait_ms) {
  for (CallPtr& call : submissions_.PopAll(wait_ms)) {
    if (call) {
      queue_.push_back(std::move(call));
    }
  }
  {
    std::lock_guard lock(resubmitted_mutex_);
    queue_.insert(queue_.begin(), resubmitted_.begin(), resubmitted_.end());
    resubmitted_.clear();
  }
  metrics::SetGauge("ring_queue_calls", {}, static_cast<double>(queue_.size()));
  if (queue_.empty()) {
    return;
  }
  RejectUnservable();
  DispatchSuspects();
  const DecisionPass pass = BuildPass();
  if (!pass.calls.empty()) {
    Apply(pass, deps_.policy->Decide(pass.input));
  }
}

void Scheduler::RejectUnservable() {
  const auto directory = deps_.directory->View();
  const int64_t now_ms = deps_.clock->NowMs();
  const std::vector<CallPtr> calls = queue_;
  for (const CallPtr& call : calls) {
    const bool served =
        std::any_of(directory->upstreams.begin(), directory->upstreams.end(),
                    [&](const UpstreamRecord& record) {
                      return record.state == MemberState::kUp &&
                             Serves(record, call->request);
                    });
    const int64_t gone_ms = call->no_reader_since_ms.load();
    const bool gone = gone_ms > 0 && call->answer.readers() <= 0 &&
                      now_ms - gone_ms > init_.call_limits.caller_gone_ms;
    if (call->cancel.cancelled() || (gone && !call->begun)) {
      Reject(call,
             Refuse(Reason::kCallerGone,
                    "the caller closed its connection or ended the program"));
    } else if (now_ms >= std::min(call->call_deadline_ms, call->deadline_ms)) {
      Reject(call, Refuse(Reason::kDeadlinePassed,
                          "the deadline passed before the call was started"));
    } else if (!served) {
      constexpr int64_t kAnnouncePeriodMs = 1'000;
      Reject(call, Refuse(Reason::kNoUpstream, "no upstream serves this call",
                          UniformInt(rng_, kAnnouncePeriodMs,
                                     2 * kAnnouncePeriodMs)));
    }
  }
}

// Suspects may have crashed an upstream. The scheduler assigns them instead of
// the policy, because each needs an upstream reserved for it, without any other
// calls.
void Scheduler::DispatchSuspects() {
  const auto directory = deps_.directory->View();
  const std::vector<CallPtr> calls = queue_;
  for (const CallPtr& call : calls) {
    if (call->suspect.load() && DispatchSuspect(call, *directory)) {
      reservations_.erase(call->ticket);
    }
  }
}

bool Scheduler::DispatchSuspect(const CallPtr& call,
                                const DirectoryView& directory) {
  const UpstreamRecord* best = nullptr;
  const auto reservation = reservations_.find(call->ticket);
  const auto cost = [&](const UpstreamRecord& record) {
    const bool tried = Contains(call->failed, record.id);
    return std::pair(tried, upstreams_.in_flight(record.id));
  };
  for (const UpstreamRecord& record : directory.upstreams) {
    if (record.state != MemberState::kUp || !Serves(record, call->request)) {
      continue;
    }
    if (reservation != reservations_.end() &&
        reservation->second == record.id) {
      best = &record;
      break;
    }
    if (!upstreams_.reserved(record.id) &&
        (best == nullptr || cost(record) < cost(*best))) {
      best = &record;
    }
  }
  if (reservation != reservations_.end() &&
      (best == nullptr || reservation->second != best->id)) {
    upstreams_.Unreserve(reservation->second, call->ticket);
    reservations_.erase(reservation);
  }
  if (best == nullptr) {
    return false;
  }
  upstreams_.Reserve(best->id, call->ticket);
  reservations_[call->ticket] = best->id;
  return upstreams_.in_flight(best->id) == 0 && Dispatch(call, *best, true);
}

Scheduler::DecisionPass Scheduler::BuildPass() {
  DecisionPass pass;
  pass.directory = deps_.directory->View();
  pass.input.now_ms = deps_.clock->NowMs();
  pass.input.seed = rng_();
  const auto& records = pass.directory->upstreams;
  for (size_t i = 0; i < records.size() && i < UINT16_MAX; ++i) {
    UpstreamView view;
    view.handle.index = static_cast<uint16_t>(i);
    view.accepts_work = records[i].state == MemberState::kUp &&
                        !upstreams_.reserved(records[i].id);
    upstreams_.Describe(records[i], pass.input.now_ms, view);
    pass.input.upstreams.push_back(view);
  }
  for (const CallPtr& call : queue_) {
    if (!call->suspect.load()) {
      pass.calls.push_back(call);
      pass.input.queue.push_back(MakeCallView(call, pass));
    }
  }
  constexpr uint64_t kCleanupPasses = 256;
  if (++passes_ % kCleanupPasses == 0) {
    upstreams_.RemoveMissing(records);
  }
  return pass;
}

CallView Scheduler::MakeCallView(const CallPtr& call,
                                 const DecisionPass& pass) const {
  CallView view;
  view.ticket = call->ticket;
  view.program = call->program_key;
  view.root = call->root_key;
  view.first_call = call->first_call;
  view.sub_agent = call->sub_agent;
  view.idempotent = call->idempotent;
  view.arrival_ms = call->arrival_ms;
  view.program_start_ms = call->program_start_ms;
  view.deadline_ms = std::min(call->deadline_ms, call->call_deadline_ms);
  view.prompt_tokens = call->prompt_tokens;
  view.expected_output_tokens =
      call->request.kind == CallKind::kModel
          ? statistics_.ExpectedOutput(call->request.max_tokens)
          : 0;
  if (call->session) {
    view.used_upstream_ms = call->used_upstream_ms;
    view.expected_remaining_calls = statistics_.ExpectedRemaining(call->turns);
  }
  const auto& records = pass.directory->upstreams;
  for (size_t i = 0; i < pass.input.upstreams.size(); ++i) {
    if (!Serves(records[i], call->request)) {
      continue;
    }
    const UpstreamHandle handle = pass.input.upstreams[i].handle;
    view.candidates.push_back(handle);
    if (Contains(call->failed, records[i].id)) {
      view.failed.push_back(handle);
    }
    const auto found = call->cached.find(records[i].id);
    if (found != call->cached.end()) {
      view.cached.push_back(
          {handle, std::min(found->second, call->prompt_tokens)});
    }
  }
  return view;
}

void Scheduler::Apply(const DecisionPass& pass, const Decision& decision) {
  const auto find = [&](uint64_t ticket) -> CallPtr {
    for (const CallPtr& call : pass.calls) {
      if (call->ticket == ticket) {
        return call;
      }
    }
    return nullptr;
  };
  for (const PolicyRefusal& refusal : decision.refusals) {
    if (const CallPtr call = find(refusal.ticket)) {
      Reject(call, Refuse(refusal.reason, "refused by the scheduling policy",
                          refusal.retry_after_ms));
    }
  }
  for (const Assignment& assignment : decision.assignments) {
    const CallPtr call = find(assignment.ticket);
    const size_t index = assignment.upstream.index;
    if (!call || index >= pass.input.upstreams.size()) {
      continue;
    }
    const UpstreamRecord& record = pass.directory->upstreams[index];
    const UpstreamView& view = pass.input.upstreams[index];
    // Enforces the limit even if the policy exceeds it.
    if (view.accepts_work && upstreams_.in_flight(record.id) < view.limit) {
      Dispatch(call, record, false);
    }
  }
}

bool Scheduler::Dispatch(const CallPtr& call,
                         const UpstreamRecord& upstream,
                         bool alone) {
  if (upstreams_.total_in_flight() >= init_.call_limits.attempt_threads) {
    return false;
  }
  upstreams_.Start(upstream.id, call, alone);
  if (!tasks_.TryPush({call, upstream, alone, std::nullopt})) {
    upstreams_.End(upstream.id, call->ticket);
    return false;
  }
  metrics::ObserveMs(
      "ring_queue_wait_ms", {},
      static_cast<double>(deps_.clock->NowMs() - call->arrival_ms));
  Remove(call->ticket);
  return true;
}

void Scheduler::Reject(const CallPtr& call, const Refusal& refusal) {
  if (call->begun) {
    if (!tasks_.TryPush({call, {}, false, refusal})) {
      return;  // The task buffer is full; the next pass tries again.
    }
  } else {
    refusal_handler_(call, refusal);
  }
  const auto reservation = reservations_.find(call->ticket);
  if (reservation != reservations_.end()) {
    upstreams_.Unreserve(reservation->second, call->ticket);
    reservations_.erase(reservation);
  }
  Remove(call->ticket);
}

void Scheduler::Remove(uint64_t ticket) {
  waiting_.fetch_sub(std::erase_if(
      queue_, [&](const CallPtr& call) { return call->ticket == ticket; }));
}

}  // namespace ring::entry
