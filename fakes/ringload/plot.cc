#include <algorithm>
#include <cstdio>
#include <map>

#include "fakes/ringload/report.h"

namespace ring::load {
namespace {

using nlohmann::json;

constexpr double kWidth = 760;
constexpr double kPanelHeight = 220;
constexpr double kLeft = 70;
constexpr double kTop = 40;
constexpr const char* kColors[] = {"#4c78a8", "#f58518", "#54a24b", "#b279a2"};

// Values of all seeds by load and policy.
using Series = std::map<double, std::map<std::string, std::vector<double>>>;

Series Collect(const std::vector<json>& results, const char* pointer) {
  Series series;
  for (const json& result : results) {
    const json::json_pointer at(pointer);
    if (result.contains(at) && result[at].is_number()) {
      series[result.value("load", 0.0)][result.value("policy", "?")].push_back(
          result[at].get<double>());
    }
  }
  return series;
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return sum / static_cast<double>(std::max<size_t>(values.size(), 1));
}

std::string Format(const char* format, auto... values) {
  char text[320];
  std::snprintf(text, sizeof(text), format, values...);
  return text;
}

std::string Label(double x, double y, const std::string& text) {
  return Format("<text x='%.1f' y='%.1f' font-size='11'>%s</text>\n", x, y,
                text.c_str());
}

// The bar shows the mean over the seeds, the line their range.
std::string Bar(double x,
                double width,
                double bottom,
                double scale,
                const std::vector<double>& values,
                const char* color) {
  const double height = Mean(values) * scale;
  const auto [low, high] = std::minmax_element(values.begin(), values.end());
  const double middle = x + width / 2;
  return Format(
             "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' "
             "fill='%s'/>\n",
             x, bottom - height, width, height, color) +
         Format(
             "<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' "
             "stroke='black'/>\n",
             middle, middle, bottom - *low * scale, bottom - *high * scale) +
         Label(x, bottom - *high * scale - 4, Format("%.0f", Mean(values)));
}

std::string Panel(const Series& series, const char* title, double top) {
  double max_value = 1;
  for (const auto& [load, policies] : series) {
    for (const auto& [policy, values] : policies) {
      max_value =
          std::max(max_value, *std::max_element(values.begin(), values.end()));
    }
  }
  const double bottom = top + kPanelHeight - 40;
  const double scale = (kPanelHeight - 80) / max_value;
  const double group_width =
      (kWidth - kLeft - 20) /
      static_cast<double>(std::max<size_t>(series.size(), 1));
  std::string text = Label(kLeft, top + 12, title);
  text += Format(
      "<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' "
      "stroke='black'/>\n",
      kLeft, kWidth - 20, bottom, bottom);
  double x = kLeft;
  for (const auto& [load, policies] : series) {
    const double width =
        group_width * 0.8 / static_cast<double>(policies.size());
    size_t index = 0;
    for (const auto& [policy, values] : policies) {
      text += Bar(x + width * static_cast<double>(index), width * 0.9, bottom,
                  scale, values, kColors[index % std::size(kColors)]);
      ++index;
    }
    constexpr double kPercent = 100;
    text += Label(x, bottom + 16, Format("load %.0f%%", load * kPercent));
    x += group_width;
  }
  return text;
}

std::string Legend(const Series& series) {
  std::string text;
  double x = kLeft;
  size_t index = 0;
  if (series.empty()) {
    return text;
  }
  for (const auto& [policy, values] : series.begin()->second) {
    text += Format("<rect x='%.1f' y='12' width='10' height='10' fill='%s'/>\n",
                   x, kColors[index++ % std::size(kColors)]);
    text += Label(x + 14, 21, policy);
    x += 170;
  }
  return text;
}

}  // namespace

std::string Plot(const std::vector<json>& results) {
  const Series latency = Collect(results, "/programs/latency_ms/p95");
  const Series in_time = Collect(results, "/programs/in_time");
  const Series recomputed =
      Collect(results, "/cache/prefill_recomputed_tokens");
  std::string text = Format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='%.0f' "
      "height='%.0f' font-family='sans-serif'>\n",
      kWidth, kTop + 3 * kPanelHeight);
  text += "<rect width='100%' height='100%' fill='white'/>\n";
  text += Legend(latency);
  text += Panel(latency, "p95 program latency, ms (finished programs)", kTop);
  text += Panel(in_time, "programs finished in time", kTop + kPanelHeight);
  text +=
      Panel(recomputed, "recomputed prefill tokens", kTop + 2 * kPanelHeight);
  return text + "</svg>\n";
}

}  // namespace ring::load
