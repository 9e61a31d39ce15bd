#include <nlohmann/json.hpp>

#include "upstream_http_p.h"

namespace ring {
namespace {

class HttpServiceClient final : public ServiceClientI {
 public:
  Outcome<ServiceResult> Call(const UpstreamRecord& upstream,
                              const ServiceRequest& request) override {
    upstream::HttpRequest http{
        .address = upstream.address,
        .path = "/v1/services/" + request.service + request.path,
        .body = request.body,
        .content_type = request.content_type,
        .headers = {{"Ring-Attempt", request.attempt}},
        .timeout_ms = request.timeout_ms};
    if (!request.idempotency_key.empty()) {
      http.headers.emplace_back("Idempotency-Key", request.idempotency_key);
    }
    upstream::Exchange exchange{CancelToken()};
    upstream::HttpResponse response;
    const Status status = sender_.Send(http, exchange, response);
    if (!status.ok()) {
      Refusal refusal = status.refusal();
      if (refusal.reason == Reason::kUpstreamTimeout) {
        refusal.reason = Reason::kToolTimeout;
      }
      return refusal;
    }
    // An error response of the service is passed to the caller, unless it says
    // that the request did not run.
    constexpr int kFirstError = 400;
    if (response.status >= kFirstError) {
      const Refusal refusal = upstream::RefusalFromResponse(response);
      if (refusal.run_state == RunState::kNotRun) {
        return refusal;
      }
    }
    return ServiceResult{.http_status = response.status,
                         .content_type = response.content_type,
                         .body = std::move(response.body)};
  }

 private:
  upstream::HttpSender sender_;
};

}  // namespace

std::unique_ptr<ServiceClientI> CreateHttpServiceClient() {
  return std::make_unique<HttpServiceClient>();
}

}  // namespace ring
