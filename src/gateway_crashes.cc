#include <algorithm>

#include "core_flatbuffer_p.h"
#include "directory.generated.h"
#include "gateway_p.h"

namespace ring {
namespace {

// Crashes that no keeper has confirmed are reported again after this time,
// until they are as old as those that the state group remembers.
constexpr int64_t kReportAgainMs = 500;
constexpr int64_t kReportForMs = 600'000;
// The ages in a report are as wrong as it is late.
constexpr int64_t kReportMs = 1'000;
constexpr int64_t kClearMs = 5'000;
// Crashes that wait for a keeper; the oldest ones are dropped.
constexpr size_t kMaxUnconfirmed = 64;

}  // namespace

void Gateway::Impl::OnSuspectList(const std::string& payload) {
  const FlatBufferView<fb::SuspectList> list(payload);
  if (!list) {
    return;
  }
  std::vector<SuspectedRequest> requests;
  if (list->requests() != nullptr) {
    for (const fb::SuspectedRequest* row : *list->requests()) {
      requests.push_back({row->digest(), static_cast<int32_t>(row->crashes())});
    }
  }
  for (const SuspectedRequest& request :
       suspects_.SetList(list->version(), requests)) {
    Event(LogLevel::kInfo, "request_suspected")
        .Add("digests", request.digest)
        .Add("crashes", int{request.crashes})
        .Add("version", list->version());
    if (suspects_.AnsweredLately(request.digest, loop_.now_ms())) {
      ClearSuspect(request.digest);
    }
  }
}

std::string Gateway::Impl::HealthPathOf(const std::string& service) const {
  const ServiceSpec* spec = table_ ? table_->FindService(service) : nullptr;
  return spec == nullptr ? "/" : spec->health_path;
}

void Gateway::Impl::NoteLost(const UpstreamInstance& upstream,
                             const CrashWatch::Request& request) {
  crash_watch_.OnLost(upstream, HealthPathOf(upstream.service), request);
}

void Gateway::Impl::NoteUnanswered(const UpstreamInstance& upstream,
                                   const CrashWatch::Request& request) {
  crash_watch_.OnUnanswered(upstream, HealthPathOf(upstream.service), request);
}

void Gateway::Impl::NoteAnswered(uint64_t digest) {
  if (suspects_.OnSuccess(digest, loop_.now_ms())) {
    ClearSuspect(digest);
  }
}

int32_t Gateway::Impl::CrashesOf(uint64_t digest) const {
  const std::vector<UpstreamCrash> open = crash_watch_.open(digest);
  return open.empty() && suspects_.empty() ? 0
                                           : suspects_.crashes(digest, open);
}

void Gateway::Impl::OnCrash(ObservedCrash crash) {
  std::erase_if(crash.requests, [this](const auto& item) {
    return suspects_.AnsweredLately(item.first, loop_.now_ms());
  });
  // Reports of one entry are late by different times. What it knows to be a
  // repeat must not look as if it had been sent before the crash.
  for (auto& [digest, sent_ms] : crash.requests) {
    if (suspects_.IsRepeat(digest, sent_ms)) {
      sent_ms = crash.at_ms;
    }
  }
  metrics::Count("ring_upstream_crashes_total");
  Event(LogLevel::kWarn, "upstream_crashed")
      .Add("upstream", crash.upstream.instance)
      .Add("born_ms", crash.upstream.born_ms)
      .Add("requests", uint64_t{crash.requests.size()})
      .Add("digests", crash.DigestText());
  if (crash.requests.empty()) {
    return;
  }
  suspects_.OnCrash(crash.ToReport());
  unconfirmed_.push_back(std::move(crash));
  if (unconfirmed_.size() > kMaxUnconfirmed) {
    LoseReport(unconfirmed_.front(), "too many crashes wait for a keeper");
    unconfirmed_.pop_front();
  }
  ReportCrashes();
}

void Gateway::Impl::LoseReport(const ObservedCrash& crash,
                               const std::string& detail) {
  metrics::Count("ring_crash_reports_lost_total");
  Event(LogLevel::kWarn, "crash_report_lost")
      .Add("upstream", crash.upstream.instance)
      .Add("age_ms", loop_.now_ms() - crash.at_ms)
      .Add("detail", detail);
}

// All crashes go into one report, so that their order is known however late it
// is; those that are reported twice are joined by their times.
void Gateway::Impl::ReportCrashes() {
  if (reporting_crashes_ || unconfirmed_.empty()) {
    return;
  }
  reporting_crashes_ = true;
  fb::ReportCrashesT report;
  for (const ObservedCrash& crash : unconfirmed_) {
    auto row = std::make_unique<fb::ReportCrashT>();
    row->upstream = crash.upstream.instance;
    row->born_ms = crash.upstream.born_ms;
    for (const auto& [digest, sent_ms] : crash.requests) {
      row->requests.emplace_back(digest, crash.at_ms - sent_ms);
    }
    row->age_ms = static_cast<int32_t>(loop_.now_ms() - crash.at_ms);
    report.crashes.push_back(std::move(row));
  }
  state_->Propose(state_codec::EncodeCrashes(report), kReportMs,
                  [this, last = unconfirmed_.back()](
                      const Outcome<fb::StateResultT>& outcome) {
                    reporting_crashes_ = false;
                    OnCrashesReported(last, outcome);
                  });
}

void Gateway::Impl::OnCrashesReported(
    const ObservedCrash& last,
    const Outcome<fb::StateResultT>& outcome) {
  if (outcome) {
    const auto reported =
        std::find(unconfirmed_.begin(), unconfirmed_.end(), last);
    if (reported != unconfirmed_.end()) {
      unconfirmed_.erase(unconfirmed_.begin(), reported + 1);
    }
    return ReportCrashes();
  }
  while (!unconfirmed_.empty() &&
         loop_.now_ms() - unconfirmed_.front().at_ms > kReportForMs) {
    LoseReport(unconfirmed_.front(), outcome.refusal().message);
    unconfirmed_.pop_front();
  }
  loop_.After(kReportAgainMs, [this] { ReportCrashes(); });
}

void Gateway::Impl::ClearSuspect(uint64_t digest) {
  Event(LogLevel::kInfo, "suspect_cleared").Add("digests", digest);
  state_->Propose(state_codec::EncodeClearSuspect(digest), kClearMs, nullptr);
}

}  // namespace ring
