#include "persimmonring/runtime.h"

#include <fstream>

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

namespace ring {
namespace metrics {
namespace {

std::shared_ptr<prometheus::Registry> Registry() {
  static const auto registry = std::make_shared<prometheus::Registry>();
  return registry;
}

prometheus::Counter& FindCounter(const std::string& name,
                                 const Labels& labels) {
  return prometheus::BuildCounter()
      .Name(name)
      .Register(*Registry())
      .Add(labels);
}

prometheus::Gauge& FindGauge(const std::string& name, const Labels& labels) {
  return prometheus::BuildGauge().Name(name).Register(*Registry()).Add(labels);
}

const prometheus::Histogram::BucketBoundaries& BucketsMs() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      1,   2,     5,     10,    20,     50,     100,    200,
      500, 1'000, 2'000, 5'000, 10'000, 20'000, 50'000, 100'000};
  return buckets;
}

}  // namespace

void Count(const std::string& name, const Labels& labels, double by) {
  FindCounter(name, labels).Increment(by);
}

void CountRefusal(Reason reason) {
  Count("ring_refusals_total", {{"reason", ToString(reason)}});
}

void CountRetry(Reason reason) {
  Count("ring_retries_total", {{"reason", ToString(reason)}});
}

void SetGauge(const std::string& name, const Labels& labels, double value) {
  FindGauge(name, labels).Set(value);
}

void ObserveMs(const std::string& name, const Labels& labels, double value_ms) {
  prometheus::BuildHistogram()
      .Name(name)
      .Register(*Registry())
      .Add(labels, BucketsMs())
      .Observe(value_ms);
}

double Value(const std::string& name, const Labels& labels) {
  for (const auto& family : Registry()->Collect()) {
    if (family.name != name) {
      continue;
    }
    for (const auto& metric : family.metric) {
      Labels found;
      for (const auto& label : metric.label) {
        found[label.name] = label.value;
      }
      if (found == labels) {
        return family.type == prometheus::MetricType::Gauge
                   ? metric.gauge.value
                   : metric.counter.value;
      }
    }
  }
  return 0;
}

std::string Text() {
  return prometheus::TextSerializer().Serialize(Registry()->Collect());
}

Status Serve(const Endpoint& endpoint) {
  // Never destroyed: stopping the HTTP server of the exposer takes 2 s, which
  // would delay the exit of the process.
  prometheus::Exposer* exposer = nullptr;
  try {
    exposer = new prometheus::Exposer(endpoint.ToString());
  } catch (const std::exception& error) {
    return Refusal{Reason::kStorageFailed, RunState::kNotRun,
                   "cannot listen on " + endpoint.ToString()};
  }
  exposer->RegisterCollectable(Registry());
  return Done{};
}

}  // namespace metrics

int64_t ProcessCpuMs() {
  rusage usage = {};
  getrusage(RUSAGE_SELF, &usage);
  const auto to_ms = [](const timeval& value) {
    return static_cast<int64_t>(value.tv_sec) * 1'000 + value.tv_usec / 1'000;
  };
  return to_ms(usage.ru_utime) + to_ms(usage.ru_stime);
}

int64_t ProcessRssKb() {
  std::ifstream statm("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  constexpr int64_t kBytesPerKb = 1'024;
  return resident_pages * sysconf(_SC_PAGESIZE) / kBytesPerKb;
}

}  // namespace ring
