#pragma once

#include <memory>
#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "fakes/fake_upstreams.h"
#include "fakes/faulty_store.h"
#include "persimmonring/entry.h"

namespace ring {

/// Stores, directory and upstreams that several entries of a test share.
struct FakeBackends {
  FakeBackends()
      : store(CreateLocalProgramStore("salem", {}, SystemClock())),
        control(CreateLocalControlStore(SystemClock())) {
    SetEngine("engine-1", 1, {"m"});
    UpstreamRecord tool;
    tool.id = {"tool", 1};
    tool.address = {"127.0.0.1", 2};
    tool.kind = UpstreamKind::kService;
    tool.domain = "salem";
    tool.services = {"stock", "order"};
    directory.Set(tool);
  }

  void SetEngine(const std::string& name,
                 uint64_t incarnation,
                 std::vector<std::string> models) {
    UpstreamRecord engine;
    engine.id = {name, incarnation};
    engine.address = {"127.0.0.1", 1};
    engine.domain = "salem";
    engine.models = std::move(models);
    engine.max_in_flight = 4;
    directory.Set(engine);
  }

  /// Applies a release note, for example to declare a service idempotent.
  void ApplyNote(uint64_t number, const std::string& body) {
    ASSERT_TRUE(control->ApplyNote({number, "op", body}).ok());
  }

  FaultyStore store;
  std::unique_ptr<ControlStoreI> control;
  FakeDirectory directory;
  FakeUpstreams upstreams;
};

/// Entry that listens on free loopback ports and runs its workers.
class TestEntry {
 public:
  static EntryInit DefaultInit(const std::string& node) {
    EntryInit init;
    init.ring = "test";
    init.node = node;
    init.domain = "salem";
    init.region = "oregon";
    init.http = {"127.0.0.1", 0};
    init.admin = {"127.0.0.1", 0};
    init.call_limits.quorum_retry_ms = 50;
    init.call_limits.caller_gone_ms = 100;
    init.drain_notice_ms = 100;
    init.janitor_period_ms = 20;
    init.seed = 7;
    return init;
  }

  TestEntry(FakeBackends& ring, const EntryInit& init, HubI* hub = nullptr)
      : policy_(CreatePolicy("fcfs-least-in-flight", {})),
        retries_(CreateRetryPolicy({1.0, 100, 3})),
        supervisor_({.name = init.node}) {
    EntryDependencies parts;
    parts.clock = &SystemClock();
    parts.programs = &ring.store;
    parts.control = ring.control.get();
    parts.directory = &ring.directory;
    parts.engine = &ring.upstreams;
    parts.service = &ring.upstreams;
    parts.policy = policy_.get();
    parts.retries = retries_.get();
    parts.hub = hub;
    auto created = Entry::Create(init, parts);
    RING_CHECK(created.ok());
    entry_ = std::move(*created);
    entry_->AddWorkers(supervisor_);
    supervisor_.Start();
  }
  ~TestEntry() { supervisor_.Stop(); }
  TestEntry(const TestEntry&) = delete;
  TestEntry& operator=(const TestEntry&) = delete;

  Entry& entry() { return *entry_; }
  uint16_t entry_port() const { return entry_->http_port(); }

  std::unique_ptr<httplib::Client> Client() const {
    return NewClient(entry_->http_port());
  }
  std::unique_ptr<httplib::Client> AdminClient() const {
    return NewClient(entry_->admin_port());
  }

 private:
  static std::unique_ptr<httplib::Client> NewClient(uint16_t port) {
    auto client = std::make_unique<httplib::Client>("127.0.0.1", port);
    client->set_tcp_nodelay(true);
    client->set_read_timeout(20, 0);
    client->set_keep_alive(true);
    return client;
  }

  std::unique_ptr<PolicyI> policy_;
  std::unique_ptr<RetryPolicyI> retries_;
  std::unique_ptr<Entry> entry_;
  Supervisor supervisor_;  // Stopped before the entry is destroyed.
};

/// HTTP client of one entry.
class Caller {
 public:
  struct Answer {
    int status = 0;  ///< HTTP status; 0: no response.
    std::string body;
    httplib::Headers headers;
    nlohmann::json json() const {
      return nlohmann::json::parse(body, nullptr, false);
    }
    std::string content() const {
      return json().at("choices").at(0).at("message").at("content");
    }
    std::string reason() const { return json().at("error").at("reason"); }
    std::string run_state() const { return json().at("error").at("run_state"); }
    /// Concatenated text of all events of a streamed answer.
    std::string streamed_text() const {
      std::string text;
      for (size_t at = 0; (at = body.find("data: {", at)) != std::string::npos;
           ++at) {
        const size_t end = body.find("\n\n", at);
        const auto chunk =
            nlohmann::json::parse(body.substr(at + 6, end - at - 6));
        if (chunk.contains("choices")) {
          text += chunk["choices"][0]["delta"].value("content", "");
        }
      }
      return text;
    }
    bool complete() const {
      return body.find("data: [DONE]") != std::string::npos;
    }
  };

  explicit Caller(TestEntry& entry) : client_(entry.Client()) {}

  Answer Post(const std::string& path,
              const std::string& body,
              const httplib::Headers& headers = {}) {
    return Take(client_->Post(path, headers, body, "application/json"));
  }
  Answer Get(const std::string& path) { return Take(client_->Get(path)); }
  Answer Delete(const std::string& path) { return Take(client_->Delete(path)); }

  std::string Open(int64_t budget = 100'000) {
    const auto answer = Post(
        "/v1/programs",
        "{\"team\":\"t\",\"budget_tokens\":" + std::to_string(budget) + "}");
    EXPECT_EQ(answer.status, 200) << answer.body;
    return answer.json().value("program", "");
  }
  /// Sends a model call with one new user message.
  Answer Ask(const std::string& program,
             uint64_t sequence,
             const std::string& text,
             bool stream = false) {
    const nlohmann::json body = {
        {"model", "m"},
        {"max_tokens", 50},
        {"stream", stream},
        {"messages", {{{"role", "user"}, {"content", text}}}}};
    return Post("/v1/chat/completions", body.dump(),
                {{"Authorization", "Bearer " + program},
                 {"Ring-Sequence", std::to_string(sequence)},
                 {"Ring-Messages", "delta"}});
  }
  Answer CallService(const std::string& program,
                     uint64_t sequence,
                     const std::string& path,
                     const std::string& body) {
    return Post("/v1/services/" + path, body,
                {{"Authorization", "Bearer " + program},
                 {"Ring-Sequence", std::to_string(sequence)}});
  }

 private:
  static Answer Take(const httplib::Result& result) {
    Answer answer;
    if (result) {
      answer.status = result->status;
      answer.body = result->body;
      answer.headers = result->headers;
    }
    return answer;
  }
  std::unique_ptr<httplib::Client> client_;
};

}  // namespace ring
