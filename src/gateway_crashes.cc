#include <algorithm>

#include "core_flatbuffer_p.h"
#include "directory.generated.h"
#include "gateway_p.h"

namespace ring {
namespace {

// Crashes that no keeper has acknowledged are reported again after this time,
// until they exceed the age up to which the state group remembers crashes.
constexpr int64_t kReportRetryMs = 500;
constexpr int64_t kMaxReportAgeMs = 600'000;
// Timeout of a report. Short, because the ages in a report are off by its
// delay.
constexpr int64_t kReportTimeoutMs = 1'000;
constexpr int64_t kClearTimeoutMs = 5'000;
// Maximum number of crashes waiting for a keeper; the oldest are dropped.
constexpr size_t kMaxUnreported = 64;

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
       suspects_.ApplyList(list->version(), requests)) {
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

void Gateway::Impl::RecordLostConnection(
    const UpstreamInstance& upstream,
    const CrashDetector::Request& request) {
  crash_detector_.OnConnectionLost(upstream, HealthPathOf(upstream.service),
                                   request);
}

void Gateway::Impl::RecordUnanswered(const UpstreamInstance& upstream,
                                     const CrashDetector::Request& request) {
  crash_detector_.OnUnanswered(upstream, HealthPathOf(upstream.service),
                               request);
}

void Gateway::Impl::RecordAnswered(uint64_t digest) {
  if (suspects_.OnSuccess(digest, loop_.now_ms())) {
    ClearSuspect(digest);
  }
}

int32_t Gateway::Impl::CrashesOf(uint64_t digest) const {
  const std::vector<UpstreamCrash> unconfirmed =
      crash_detector_.unconfirmed(digest);
  return unconfirmed.empty() && suspects_.empty()
             ? 0
             : suspects_.crashes(digest, unconfirmed);
}

void Gateway::Impl::OnCrash(ObservedCrash crash) {
  std::erase_if(crash.requests, [this](const auto& item) {
    return suspects_.AnsweredLately(item.first, loop_.now_ms());
  });
  // Reports reach the keepers with varying delays. A request that this entry
  // knows to be a repeat must not look as if it had been sent before the
  // earlier crash.
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
  unreported_.push_back(std::move(crash));
  if (unreported_.size() > kMaxUnreported) {
    DropReport(unreported_.front(),
               "too many crash reports are waiting for a keeper");
    unreported_.pop_front();
  }
  ReportCrashes();
}

void Gateway::Impl::DropReport(const ObservedCrash& crash,
                               const std::string& detail) {
  metrics::Count("ring_crash_reports_lost_total");
  Event(LogLevel::kWarn, "crash_report_lost")
      .Add("upstream", crash.upstream.instance)
      .Add("age_ms", loop_.now_ms() - crash.at_ms)
      .Add("detail", detail);
}

// All unreported crashes go into one report, so that their order is known even
// if it is late. The state group merges crashes that are reported twice by
// their times.
void Gateway::Impl::ReportCrashes() {
  if (reporting_crashes_ || unreported_.empty()) {
    return;
  }
  reporting_crashes_ = true;
  fb::ReportCrashesT report;
  for (const ObservedCrash& crash : unreported_) {
    auto row = std::make_unique<fb::ReportCrashT>();
    row->upstream = crash.upstream.instance;
    row->born_ms = crash.upstream.born_ms;
    for (const auto& [digest, sent_ms] : crash.requests) {
      row->requests.emplace_back(digest, crash.at_ms - sent_ms);
    }
    row->age_ms = static_cast<int32_t>(loop_.now_ms() - crash.at_ms);
    report.crashes.push_back(std::move(row));
  }
  state_->Propose(state_codec::EncodeCrashes(report), kReportTimeoutMs,
                  [this, last = unreported_.back()](
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
        std::find(unreported_.begin(), unreported_.end(), last);
    if (reported != unreported_.end()) {
      unreported_.erase(unreported_.begin(), reported + 1);
    }
    return ReportCrashes();
  }
  while (!unreported_.empty() &&
         loop_.now_ms() - unreported_.front().at_ms > kMaxReportAgeMs) {
    DropReport(unreported_.front(), outcome.refusal().message);
    unreported_.pop_front();
  }
  loop_.After(kReportRetryMs, [this] { ReportCrashes(); });
}

void Gateway::Impl::ClearSuspect(uint64_t digest) {
  Event(LogLevel::kInfo, "suspect_cleared").Add("digests", digest);
  state_->Propose(state_codec::EncodeClearSuspect(digest), kClearTimeoutMs,
                  nullptr);
}

}  // namespace ring
