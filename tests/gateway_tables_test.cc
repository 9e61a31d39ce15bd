#include <gtest/gtest.h>

#include "gateway_affinity_p.h"
#include "gateway_chains_p.h"
#include "gateway_events_p.h"
#include "persimmonring/gateway.h"

namespace ring {
namespace {

Route RouteAt(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.timeout_ms = 1'000;
  route.targets = {{"service", 1}};
  return route;
}

RouteTable TableOf(std::vector<Route> routes) {
  return {1, std::move(routes), {{.name = "service"}}, {}};
}

// Guards against choosing the route of a shorter prefix.
TEST(RouteTableMatch, SeveralPrefixes_LongestOfTheHostWins) {
  const RouteTable table =
      TableOf({RouteAt("a.example", "/"), RouteAt("a.example", "/x/"),
               RouteAt("a.example", "/x/y/"), RouteAt("b.example", "/z/")});
  EXPECT_EQ(table.Match("a.example", "/x/y/1")->path_prefix, "/x/y/");
  EXPECT_EQ(table.Match("A.Example:80", "/x/yy")->path_prefix, "/x/");
  EXPECT_EQ(table.Match("a.example", "/x")->path_prefix, "/");
  EXPECT_EQ(table.Match("b.example", "/x/1"), nullptr);
  EXPECT_EQ(table.Match("c.example", "/"), nullptr);
  EXPECT_EQ(table.Match("a.example", ""), nullptr);
}

// Guards against accepting a configuration whose routes lead nowhere.
TEST(RouteTableCheck, EachMistake_IsRefused) {
  EXPECT_TRUE(TableOf({RouteAt("a", "/")}).Check().ok());
  Route unknown = RouteAt("a", "/");
  unknown.targets = {{"other", 1}};
  EXPECT_FALSE(TableOf({unknown}).Check().ok());
  Route weightless = RouteAt("a", "/");
  weightless.targets = {{"service", 0}};
  EXPECT_FALSE(TableOf({weightless}).Check().ok());
  Route endless = RouteAt("a", "/");
  endless.timeout_ms = 0;
  EXPECT_FALSE(TableOf({endless}).Check().ok());
  EXPECT_FALSE(
      TableOf({RouteAt("a", "/x/"), RouteAt("A", "/x/")}).Check().ok());
}

class UpstreamTableTest : public testing::Test {
 protected:
  static UpstreamTable::Report Heard(const std::string& instance,
                                     int64_t born_ms,
                                     uint64_t sequence,
                                     UpstreamState state,
                                     uint16_t port = 1) {
    UpstreamInstance upstream;
    upstream.instance = instance;
    upstream.service = "service";
    upstream.address = {"10.0.0.1", port};
    upstream.slots = 1;
    upstream.born_ms = born_ms;
    upstream.sequence = sequence;
    upstream.state = state;
    return {upstream, true};
  }
  size_t ready() const { return table_.Ready("service", now_ms_).size(); }

  UpstreamTable table_;
  int64_t now_ms_ = 0;
};

// Guards against a late or new announcement that makes a leaving upstream ready
// again, and against applying the leaving state to the next incarnation.
TEST_F(UpstreamTableTest, LeavingUpstream_NeverReturnsInOneIncarnation) {
  const auto report = Heard("i", 5, 1, UpstreamState::kReady);
  table_.Merge("k1", false,
               {report, Heard("j", 5, 1, UpstreamState::kReady, 2)});
  EXPECT_TRUE(table_.MarkLeaving(report.upstream, now_ms_));
  EXPECT_FALSE(table_.MarkLeaving(report.upstream, now_ms_));
  EXPECT_EQ(ready(), 1u);
  table_.Merge("k1", false, {Heard("i", 5, 2, UpstreamState::kReady)});
  EXPECT_EQ(ready(), 1u);
  // The upstream exits and is removed; then a lagging keeper reports it again.
  table_.Merge("k1", true, {Heard("i", 5, 3, UpstreamState::kGone)});
  table_.Merge("k1", true, {Heard("j", 5, 1, UpstreamState::kReady, 2)});
  table_.Prune(now_ms_);
  table_.Merge("k2", false, {report});
  EXPECT_EQ(ready(), 1u);
  table_.Merge("k1", false, {Heard("i", 6, 1, UpstreamState::kReady)});
  EXPECT_EQ(ready(), 2u);
}

// Guards against a response that arrives before the keepers' reports.
TEST_F(UpstreamTableTest, AnswerComesFirst_UpstreamIsNotUsed) {
  const auto report = Heard("i", 5, 1, UpstreamState::kReady);
  table_.MarkLeaving(report.upstream, now_ms_);
  table_.Merge("k1", false,
               {report, Heard("j", 5, 1, UpstreamState::kReady, 2)});
  ASSERT_EQ(ready(), 1u);
  EXPECT_EQ(table_.Ready("service", now_ms_)[0]->instance, "j");
}

// Guards against refusing requests while the only upstream still serves, and
// against using it for too long.
TEST_F(UpstreamTableTest, OnlyLeavingUpstream_IsTheLastResortForAWhile) {
  const auto report = Heard("i", 5, 1, UpstreamState::kReady);
  table_.Merge("k1", false, {report});
  table_.MarkLeaving(report.upstream, now_ms_);
  EXPECT_EQ(ready(), 1u);
  now_ms_ = 2'000;
  EXPECT_EQ(ready(), 0u);
}

// Guards against using an upstream whose departure was recorded: it may have
// begun to leave long before its response.
TEST_F(UpstreamTableTest, LeavingUpstreamThatTheLogKnows_IsNoLastResort) {
  const auto report = Heard("i", 5, 1, UpstreamState::kReady);
  table_.Merge("k1", false, {report});
  table_.MarkLeaving(report.upstream, now_ms_);
  table_.RecordDeparture({"i", 5, false});
  EXPECT_EQ(ready(), 0u);
}

// Guards against a late report that makes a leaving upstream ready again.
TEST_F(UpstreamTableTest, DrainingUpstream_NeverReturnsInOneIncarnation) {
  table_.Merge("k1", false, {Heard("i", 5, 1, UpstreamState::kReady)});
  table_.Merge("k2", false, {Heard("i", 5, 2, UpstreamState::kDraining)});
  EXPECT_EQ(ready(), 0u);
  table_.Merge("k1", false, {Heard("i", 5, 3, UpstreamState::kReady)});
  EXPECT_EQ(ready(), 0u);
  table_.Merge("k1", false, {Heard("i", 6, 1, UpstreamState::kReady)});
  EXPECT_EQ(ready(), 1u);
}

// Guards against a departure that arrives before any report about the upstream.
TEST_F(UpstreamTableTest, DepartureComesFirst_UpstreamIsNotUsed) {
  table_.RecordDeparture({"i", 5, false});
  table_.Merge("k1", false, {Heard("i", 5, 1, UpstreamState::kReady)});
  EXPECT_EQ(ready(), 0u);
}

// Guards against using an upstream whose address now belongs to another one.
TEST_F(UpstreamTableTest, AddressUsedAgain_OlderUpstreamIsGone) {
  table_.Merge("k1", false, {Heard("old", 5, 9, UpstreamState::kReady)});
  table_.Merge("k1", false, {Heard("new", 6, 1, UpstreamState::kReady)});
  ASSERT_EQ(ready(), 1u);
  EXPECT_EQ(table_.Ready("service", now_ms_)[0]->instance, "new");
  // A delayed announcement of the older upstream changes nothing.
  table_.Merge("k2", false, {Heard("old", 5, 10, UpstreamState::kReady)});
  EXPECT_EQ(ready(), 1u);
}

// Guards against removing an upstream that one keeper does not receive
// announcements of although another one does.
TEST_F(UpstreamTableTest, HeardByOneKeeper_StaysUntilNoneHearsIt) {
  auto report = Heard("i", 5, 1, UpstreamState::kReady);
  table_.Merge("k1", false, {report});
  table_.Merge("k2", false, {report});
  report.heard = false;
  table_.Merge("k1", false, {report});
  EXPECT_EQ(ready(), 1u);
  table_.Merge("k2", true, {});
  EXPECT_EQ(ready(), 0u);
}

// Guards against logging reports that change nothing: each of eleven keepers
// reports all upstreams to a restarted entry.
TEST_F(UpstreamTableTest, SameReportByAnotherKeeper_IsNoChange) {
  auto report = Heard("i", 5, 1, UpstreamState::kReady);
  EXPECT_EQ(table_.Merge("k1", true, {report}).size(), 1u);
  EXPECT_TRUE(table_.Merge("k2", true, {report}).empty());
  report.upstream.sequence = 2;
  EXPECT_TRUE(table_.Merge("k1", false, {report}).empty());
  report.heard = false;
  EXPECT_TRUE(table_.Merge("k1", false, {report}).empty());
  EXPECT_EQ(table_.Merge("k2", false, {report}).size(), 1u);
  report.heard = true;
  report.upstream.state = UpstreamState::kDraining;
  EXPECT_EQ(table_.Merge("k2", false, {report}).size(), 1u);
}

// Guards against losing or adding bytes of a chain, and against wrong budgets.
TEST(EventStreamReader, EventsInPieces_DataIsCollectedAndCounted) {
  const std::string stream =
      "id: 1\ndata: one\n\npersimmon: 2\nid: 2\ndata: two\ndata: lines\n\n";
  for (size_t cut = 1; cut < stream.size(); ++cut) {
    EventStreamReader reader({.event_bytes = 64, .data_bytes = 64});
    reader.Feed(stream.substr(0, cut));
    reader.Feed(stream.substr(cut));
    EXPECT_EQ(reader.data(), "one\ntwo\nlines\n");
    EXPECT_EQ(reader.events(), 2);
    EXPECT_TRUE(reader.at_event_boundary());
  }
}

// Guards against counting a truncated event.
TEST(EventStreamReader, UnfinishedEvent_IsNotCounted) {
  EventStreamReader reader({.event_bytes = 64, .data_bytes = 64});
  reader.Feed("id: 1\ndata: one\n\nid: 2\ndata: tw");
  EXPECT_EQ(reader.events(), 1);
  EXPECT_FALSE(reader.at_event_boundary());
}

// Guards against changing a chain, and against accepting corrupt data.
TEST(CompressText, CompressedAndDecompressed_IsTheSame) {
  const std::string text(5'000, 'x');
  const std::string compressed = CompressText(text);
  EXPECT_LT(compressed.size(), text.size() / 10);
  EXPECT_EQ(DecompressText(compressed), text);
  EXPECT_EQ(DecompressText(CompressText("")), "");
  EXPECT_EQ(DecompressText("damaged"), std::nullopt);
  EXPECT_EQ(DecompressText(compressed.substr(0, compressed.size() / 2)),
            std::nullopt);
}

// Guards against memory use that grows with the number of chains.
TEST(ChainCache, ByteLimitExceeded_EvictsLeastRecentlyUsed) {
  ChainCache cache(10);
  const auto text = [](size_t size) {
    return std::make_shared<const std::string>(size, 'x');
  };
  cache.Put("a", text(4), "i-1");
  cache.Put("b", text(4), "i-1");
  EXPECT_NE(cache.Find("a"), nullptr);
  cache.Put("c", text(4), "i-1");
  EXPECT_EQ(cache.Find("b"), nullptr);
  EXPECT_NE(cache.Find("a"), nullptr);
  cache.Put("huge", text(11), "i-1");
  EXPECT_EQ(cache.Find("huge"), nullptr);
  EXPECT_LE(cache.bytes(), 10u);
}

CallerRequest RequestOf(const std::string& session,
                        const std::vector<PromptPart>& prompt) {
  CallerRequest request;
  request.session = session;
  request.prompt = prompt;
  for (const PromptPart& part : prompt) {
    request.prompt_tokens += part.tokens;
  }
  return request;
}

// Guards against processing a prompt again: for the next turn of a session, and
// for sub-agents, whose prompt begins with that of their parent.
TEST(AffinityCache, SessionAndParent_AreFoundWhereTheyRan) {
  AffinityCache cache(100);
  cache.Record(RequestOf("parent", {{"shared", 500}, {"parent", 900}}), "i-1");
  EXPECT_EQ(cache.Find(RequestOf("parent", {{"shared", 500}, {"p", 1'000}})),
            (CachedPrompt{"i-1", 1'500}));
  EXPECT_EQ(cache.Find(RequestOf(
                "child", {{"shared", 500}, {"parent", 900}, {"child", 100}})),
            (CachedPrompt{"i-1", 1'400}));
  // The part that all programs share is ignored.
  EXPECT_EQ(cache.Find(RequestOf("other", {{"shared", 500}, {"other", 10}})),
            CachedPrompt());
}

// Guards against memory use that grows with the number of sessions.
TEST(AffinityCache, ManySessions_OldOnesAreForgotten) {
  AffinityCache cache(10);
  for (int i = 0; i < 100; ++i) {
    cache.Record(RequestOf(std::to_string(i), {}), "i-1");
  }
  EXPECT_EQ(cache.Find(RequestOf("0", {})), CachedPrompt());
  EXPECT_EQ(cache.Find(RequestOf("99", {})).instance, "i-1");
}

}  // namespace
}  // namespace ring
