#include "core_flatbuffer_p.h"
#include "directory.generated.h"
#include "gateway_p.h"

namespace ring {
namespace {

// A report that no keeper has confirmed is sent again after this time, until it
// is as old as the crashes that the state group remembers.
constexpr int64_t kReportAgainMs = 500;
constexpr int64_t kReportForMs = 600'000;
constexpr int64_t kReportMs = 5'000;
// Reports that wait for a keeper; those that come after them are lost.
constexpr size_t kMaxReports = 64;

}  // namespace

void Gateway::Impl::OnSuspectList(const std::string& payload) {
  const FlatView<fb::SuspectList> list(payload);
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
        .Add("digest", request.digest)
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
                             uint64_t digest) {
  crash_watch_.OnLost(upstream, HealthPathOf(upstream.service), digest);
}

void Gateway::Impl::NoteUnanswered(const UpstreamInstance& upstream,
                                   uint64_t digest,
                                   int64_t sent_ms) {
  crash_watch_.OnUnanswered(upstream, HealthPathOf(upstream.service), digest,
                            sent_ms);
}

void Gateway::Impl::NoteAnswered(uint64_t digest) {
  if (suspects_.OnSuccess(digest, loop_.now_ms())) {
    ClearSuspect(digest);
  }
}

int32_t Gateway::Impl::CrashesOf(uint64_t digest) const {
  return suspects_.crashes(digest) + crash_watch_.open(digest);
}

void Gateway::Impl::OnCrash(ObservedCrash crash) {
  std::erase_if(crash.digests, [this](uint64_t digest) {
    return suspects_.AnsweredLately(digest, loop_.now_ms());
  });
  metrics::Count("ring_upstream_crashes_total");
  Event(LogLevel::kWarn, "upstream_crashed")
      .Add("upstream", crash.upstream.instance)
      .Add("born_ms", crash.upstream.born_ms)
      .Add("requests", uint64_t{crash.digests.size()})
      .Add("digest", crash.digests.empty() ? 0 : *crash.digests.begin());
  if (crash.digests.empty()) {
    return;
  }
  suspects_.OnCrash({UpstreamKey(crash.upstream.instance + "/" +
                                 std::to_string(crash.upstream.born_ms)),
                     crash.at_ms, crash.digests});
  if (crash_reports_ >= kMaxReports) {
    return LoseReport(crash, "too many reports wait");
  }
  ++crash_reports_;
  ReportCrash(std::make_shared<ObservedCrash>(std::move(crash)));
}

void Gateway::Impl::LoseReport(const ObservedCrash& crash,
                               const std::string& detail) {
  metrics::Count("ring_crash_reports_lost_total");
  Event(LogLevel::kWarn, "crash_report_lost")
      .Add("upstream", crash.upstream.instance)
      .Add("age_ms", loop_.now_ms() - crash.at_ms)
      .Add("detail", detail);
}

// A report that is repeated is joined with the first by its time.
void Gateway::Impl::ReportCrash(
    const std::shared_ptr<const ObservedCrash>& crash) {
  const int64_t age_ms = loop_.now_ms() - crash->at_ms;
  fb::ReportCrashT report;
  report.upstream = crash->upstream.instance;
  report.born_ms = crash->upstream.born_ms;
  report.digests.assign(crash->digests.begin(), crash->digests.end());
  report.age_ms = static_cast<int32_t>(age_ms);
  state_->Propose(state_codec::EncodeCrash(report), kReportMs,
                  [this, crash](const Outcome<fb::StateResultT>& outcome) {
                    if (outcome) {
                      --crash_reports_;
                    } else if (loop_.now_ms() - crash->at_ms > kReportForMs) {
                      --crash_reports_;
                      LoseReport(*crash, outcome.refusal().message);
                    } else {
                      loop_.After(kReportAgainMs,
                                  [this, crash] { ReportCrash(crash); });
                    }
                  });
}

void Gateway::Impl::ClearSuspect(uint64_t digest) {
  Event(LogLevel::kInfo, "suspect_cleared").Add("digest", digest);
  state_->Propose(state_codec::EncodeClearSuspect(digest), kReportMs, nullptr);
}

}  // namespace ring
