#include <gtest/gtest.h>

#include "persimmonring/control.h"

namespace ring {
namespace {

using Items = std::map<std::string, std::string>;

const Items kItems = {
    {"model/m", R"({"kind":"model","name":"m","version":"2","role":"decode"})"},
    {"model/n",
     R"({"kind":"model","name":"n","version":"1","upstreams":["u2"]})"},
    {"adapter/a", R"({"kind":"adapter","name":"a","model":"m","version":"5"})"},
    {"team/t", R"({"kind":"team","name":"t"})"}};

std::vector<std::string> Describe(const std::vector<PlannedOrder>& orders) {
  std::vector<std::string> names;
  names.reserve(orders.size());
  for (const PlannedOrder& order : orders) {
    names.push_back(order.upstream + " " + order.action + " " + order.model +
                    order.adapter + order.version + order.role);
  }
  return names;
}

struct PlanCase {
  const char* description;
  Items items;
  UpstreamReport report;
  std::vector<std::string> orders;
};

// Guards against orders that are missing, unnecessary or in a sequence that the
// engine cannot execute.
TEST(PlanOrders, ReportOfOneEngine_DeterminesItsOrders) {
  const PlanCase cases[] = {
      {"empty engine: adapter is loaded after its model",
       kItems,
       {"u1", R"({"models":[],"adapters":[],"role":"decode"})"},
       {"u1 load_model m2"}},
      {"outdated model and missing adapter",
       kItems,
       {"u1", R"({"models":[{"name":"m","version":"1"}],"role":"decode"})"},
       {"u1 load_model m2", "u1 load_adapter ma5"}},
      {"nothing to do",
       kItems,
       {"u1", R"({"models":[{"name":"m","version":"2"}],
                  "adapters":[{"name":"a","model":"m","version":"5"}],
                  "role":"decode"})"},
       {}},
      {"unload first, role last",
       kItems,
       {"u1", R"({"models":[{"name":"m","version":"2"},{"name":"n"}],
                  "adapters":[{"name":"a","model":"m","version":"5"},
                              {"name":"b","model":"n"}],"role":"prefill"})"},
       {"u1 unload b", "u1 unload n", "u1 set_role decode"}},
      {"model assigned to one engine",
       kItems,
       {"u2", R"({"models":[{"name":"m","version":"2"}],
                  "adapters":[{"name":"a","model":"m","version":"5"}],
                  "role":"decode"})"},
       {"u2 load_model n1"}},
      {"no model configured: nothing is unloaded",
       {},
       {"u1", R"({"models":[{"name":"m","version":"2"}]})"},
       {}},
      {"models as an object, adapters as names",
       kItems,
       {"u1", R"({"models":{"m":"1"},"adapters":["a"],"role":"decode"})"},
       {"u1 load_model m2"}},
      {"report is not JSON", kItems, {"u1", "not json"}, {}},
      {"report with a malformed list", kItems, {"u1", R"({"models":[7]})"}, {}},
  };
  for (const PlanCase& c : cases) {
    EXPECT_EQ(Describe(PlanOrders(c.items, {c.report}, 9, 10)), c.orders)
        << c.description;
  }
}

// Guards against a rollout that exceeds the rate limit of the weight store, and
// against plans that depend on the order of the reports.
TEST(PlanOrders, MaxLoads_LimitsLoadsAcrossEngines) {
  const UpstreamReport empty[] = {{"u1", "{}"}, {"u2", "{}"}, {"u3", "{}"}};
  const auto orders = PlanOrders(kItems, {empty[2], empty[0], empty[1]}, 9, 2);
  EXPECT_EQ(Describe(orders),
            (std::vector<std::string>{"u1 load_model m2", "u1 set_role decode",
                                      "u2 load_model m2", "u2 set_role decode",
                                      "u3 set_role decode"}));
  EXPECT_EQ(orders, PlanOrders(kItems, {empty[0], empty[1], empty[2]}, 9, 2));
  EXPECT_EQ(orders[0].fence, 9u);
}

}  // namespace
}  // namespace ring
