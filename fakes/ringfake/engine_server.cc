#include "fakes/ringfake/engine_server.h"

#include <chrono>
#include <thread>

#include "fakes/ringfake/engine_stream.h"

namespace ring::fakes {

EngineServer::EngineServer(const Options& options,
                           InstanceState& instance,
                           Faults& faults)
    : options_(options),
      instance_(instance),
      faults_(faults),
      cache_(options, SystemClock()),
      batch_(options, cache_) {
  for (const auto& model : options.models) {
    models_[model] = "1";
  }
}

void EngineServer::AddRoutes(httplib::Server& server) {
  server.Post("/v1/chat/completions",
              [this](const auto& request, auto& response) {
                Complete(request, response);
              });
  server.Post("/v1/cancel", [this](const auto& request, auto& response) {
    nlohmann::json body;
    if (ParseBody(request, response, body)) {
      const bool found = batch_.Cancel(body.value("ring_attempt", ""));
      ReplyJson(response, {{"cancelled", found}});
    }
  });
  server.Get("/v1/load", [this](const auto& /*request*/, auto& response) {
    ReplyJson(response, Load());
  });
  server.Get("/v1/fake/stats", [this](const auto& /*request*/, auto& response) {
    nlohmann::json stats = cache_.Stats();
    stats.update(batch_.Stats());
    ReplyJson(response, stats);
  });
  server.Get("/v1/fake/keys", [this](const auto& /*request*/, auto& response) {
    ReplyJson(response, cache_.Keys());
  });
  AddCacheRoutes(server);
  AddOrderRoutes(server);
}

std::shared_ptr<Job> EngineServer::MakeJob(const nlohmann::json& body,
                                           httplib::Response& response) {
  const std::string model = body.value("model", "");
  const auto messages = body.value("messages", nlohmann::json());
  const auto limit = body.value("max_tokens", options_.answer_tokens_max);
  const auto resume = body.value("resume_from", int64_t{0});
  if (!messages.is_array() || limit <= 0 || resume < 0) {
    ReplyNotRun(
        response, 400, "bad_request",
        "messages is not an array, or max_tokens or resume_from is out of "
        "range");
    return nullptr;
  }
  {
    std::lock_guard lock(mutex_);
    if (!models_.contains(model) && !adapters_.contains(model)) {
      ReplyNotRun(response, 404, "unknown_model", "model is not loaded");
      return nullptr;
    }
  }
  auto job = std::make_shared<Job>();
  job->attempt = body.value("ring_attempt", "");
  job->key = body.value("cache_key", "");
  job->prompt = PromptText(messages);
  job->answer = MakeAnswer(model, messages, options_.answer_tokens_min,
                           options_.answer_tokens_max, limit);
  job->resume_from =
      std::min(static_cast<size_t>(resume), job->answer.tokens.size());
  const int64_t total_tokens = CountTokens(job->prompt.size()) +
                               static_cast<int64_t>(job->answer.tokens.size());
  if (total_tokens > options_.cache_tokens) {
    ReplyNotRun(response, 413, "history_too_long",
                "prompt and answer exceed the cache capacity");
    return nullptr;
  }
  return job;
}

void EngineServer::Complete(const httplib::Request& request,
                            httplib::Response& response) {
  if (faults_.Crashes(request.body)) {
    Crash();
  }
  if (faults_.Take("reset_before_headers")) {
    ResetConnection(request.local_port, request.remote_port);
    return;
  }
  if (faults_.Take("refuse")) {
    ReplyNotRun(response, 503, "overload", "refused by an injected fault");
    return;
  }
  nlohmann::json body;
  if (!ParseBody(request, response, body)) {
    return;
  }
  const auto job = MakeJob(body, response);
  if (!job) {
    return;
  }
  if (!batch_.Submit(job)) {
    ReplyNotRun(response, 503, "queue_full", "waiting queue is full");
    return;
  }
  instance_.in_flight.fetch_add(1);
  auto stream = std::make_shared<EngineStream>(job, faults_, request.local_port,
                                               request.remote_port);
  response.set_chunked_content_provider(
      "text/event-stream",
      [stream](size_t /*offset*/, httplib::DataSink& sink) {
        return stream->WriteNext(sink);
      },
      [this, job](bool /*success*/) {
        job->Cancel();  // No effect once the job is complete.
        instance_.in_flight.fetch_sub(1);
      });
}

nlohmann::json EngineServer::Load() {
  std::lock_guard lock(mutex_);
  const int64_t now = SystemClock().NowMs();
  if (reported_load_.is_null() ||
      now - reported_load_at_ms_ >= options_.load_lag_ms) {
    const auto load = batch_.load();
    reported_load_ = {{"running", load.running},
                      {"waiting", load.waiting},
                      {"cache_used_tokens", cache_.used_tokens()},
                      {"cache_capacity_tokens", options_.cache_tokens}};
    reported_load_at_ms_ = now;
  }
  return reported_load_;
}

nlohmann::json EngineServer::Models() {
  std::lock_guard lock(mutex_);
  auto names = nlohmann::json::array();
  for (const auto& [name, version] : models_) {
    names.push_back(name);
  }
  return names;
}

nlohmann::json EngineServer::Adapters() {
  std::lock_guard lock(mutex_);
  auto names = nlohmann::json::array();
  for (const auto& [name, adapter] : adapters_) {
    names.push_back(name);
  }
  return names;
}

void EngineServer::AddCacheRoutes(httplib::Server& server) {
  server.Post("/v1/cache/release", [this](const auto& request, auto& response) {
    nlohmann::json body;
    if (ParseBody(request, response, body)) {
      const bool released = cache_.Release(body.value("cache_key", ""));
      ReplyJson(response, {{"released", released}}, released ? 200 : 202);
    }
  });
  server.Post("/v1/cache/export", [this](const auto& request, auto& response) {
    nlohmann::json body;
    if (!ParseBody(request, response, body)) {
      return;
    }
    const auto text = cache_.Export(body.value("cache_key", ""));
    if (!text) {
      ReplyNotRun(response, 404, "unknown_program", "key is not cached");
      return;
    }
    ReplyJson(response,
              {{"text", *text}, {"tokens", CountTokens(text->size())}});
  });
  server.Post("/v1/cache/import", [this](const auto& request, auto& response) {
    nlohmann::json body;
    if (ParseBody(request, response, body)) {
      Import(body, response);
    }
  });
  server.Get("/v1/cache/events", [this](const auto& request, auto& response) {
    const std::string since = request.get_param_value("since");
    ReplyJson(
        response,
        {{"events", cache_.Events(std::strtoull(since.c_str(), nullptr, 10))}});
  });
}

void EngineServer::Import(const nlohmann::json& body,
                          httplib::Response& response) {
  const std::string key = body.value("cache_key", "");
  const auto source = Endpoint::Parse(body.value("source", ""));
  if (key.empty() || !source) {
    ReplyNotRun(response, 400, "bad_request",
                "cache_key or source is missing or invalid");
    return;
  }
  httplib::Client client(source->ip, source->port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(2);
  const auto result =
      client.Post("/v1/cache/export", nlohmann::json{{"cache_key", key}}.dump(),
                  "application/json");
  const auto answer = result && result->status == 200
                          ? nlohmann::json::parse(result->body, nullptr, false)
                          : nlohmann::json();
  if (!answer.is_object()) {
    ReplyNotRun(response, 502, "upstream_error",
                "cache export from source failed");
    return;
  }
  const double tokens = answer.value("tokens", 0.0);
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(
      tokens / options_.transfer_tokens_per_ms));
  if (!cache_.Import(key, answer.value("text", ""))) {
    ReplyNotRun(response, 507, "overload",
                "not enough cache memory, or key is in use");
    return;
  }
  ReplyJson(response, {{"tokens", tokens}});
}

void EngineServer::AddOrderRoutes(httplib::Server& server) {
  server.Post("/v1/orders", [this](const auto& request, auto& response) {
    nlohmann::json body;
    if (ParseBody(request, response, body)) {
      Order(body, response);
    }
  });
  server.Get("/v1/state", [this](const auto& /*request*/, auto& response) {
    ReplyJson(response, State());
  });
}

void EngineServer::Order(const nlohmann::json& body,
                         httplib::Response& response) {
  const auto fence = body.value("fence", uint64_t{0});
  {
    std::lock_guard lock(mutex_);
    if (fence < fence_) {
      if (!options_.ignore_fence) {
        ReplyNotRun(response, 409, "stale_fence",
                    "fencing token is older than the last one");
        return;
      }
      ++stale_orders_;
    }
    fence_ = std::max(fence, fence_);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(options_.order_ms));
  ApplyOrder(body);
  ReplyJson(response, State());
}

void EngineServer::ApplyOrder(const nlohmann::json& body) {
  const std::string action = body.value("action", "");
  const std::string model = body.value("model", "");
  const std::string adapter = body.value("adapter", "");
  std::lock_guard lock(mutex_);
  ++orders_;
  if (action == "load_model") {
    models_[model] = body.value("version", "");
  } else if (action == "load_adapter") {
    adapters_[adapter] = {model, body.value("version", "")};
  } else if (action == "unload") {
    if (adapter.empty()) {
      models_.erase(model);
    } else {
      adapters_.erase(adapter);
    }
  } else if (action == "set_role") {
    role_ = body.value("role", "");
  }
}

nlohmann::json EngineServer::State() {
  std::lock_guard lock(mutex_);
  auto models = nlohmann::json::array();
  for (const auto& [name, version] : models_) {
    models.push_back({{"name", name}, {"version", version}});
  }
  auto adapters = nlohmann::json::array();
  for (const auto& [name, adapter] : adapters_) {
    adapters.push_back({{"name", name},
                        {"model", adapter.model},
                        {"version", adapter.version}});
  }
  return {{"name", options_.name}, {"incarnation", instance_.incarnation},
          {"models", models},      {"adapters", adapters},
          {"role", role_},         {"fence", fence_},
          {"orders", orders_},     {"stale_orders", stale_orders_}};
}

}  // namespace ring::fakes
