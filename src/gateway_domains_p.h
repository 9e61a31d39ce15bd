#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway_lease_p.h"
#include "persimmonring/gateway.h"

namespace ring {

/// Shares of the failure domains in the calls of plain services, as all entries
/// of a domain compute them from the demand that the leader of the state group
/// has collected. Times are those of ClockI::BootMs().
class DomainShares final : public LeasePartI {
 public:
  static constexpr int64_t kStepMs = 250;
  /// Demand that is older does not count.
  static constexpr int64_t kMaxAgeMs = 2'000;

  struct Init {
    std::string domain;  ///< Of this entry.
    std::string region;
    std::map<std::string, std::string> regions;  ///< Region of each domain.
    bool enabled = true;
    bool observed_times = true;  ///< See GatewayMechanisms.
  };

  DomainShares(const Init& init, const ClockI& clock);

  // Requests of this entry to upstreams.
  void OnSent(const std::string& service, const std::string& instance);
  void OnEnded(const std::string& instance);
  void OnServed(const std::string& instance, int64_t us) {
    upstream_times_.OnServed(instance, us);
  }
  /// @returns mean number of requests in flight in about the last second
  double busy(const std::string& service) const;
  const UpstreamTimes& upstream_times() const { return upstream_times_; }

  // LeasePartI
  void AddTo(fb::LeaseRequestT& request) override;
  void OnReply(const fb::LeaseReplyT& reply, int64_t asked_ms) override;
  bool active() const override;

  /// Computes the shares of all services in use. Call every kStepMs.
  void Step(const UpstreamTable& upstreams, const ObservedTimes& times);
  /// Draws the domain of a call.
  /// @returns nullopt without shares; the call then goes where the cost is
  ///          least
  std::optional<std::string> Draw(const std::string& service,
                                  uint64_t random) const;
  /// @returns thousandths by domain; empty: no shares
  std::map<std::string, int32_t> shares(const std::string& service) const;
  /// Forgets upstreams that are gone.
  void Prune(const UpstreamTable& upstreams);

 private:
  struct Demand {
    double busy = 0;
    int64_t age_ms = 0;  ///< Of the oldest report that counts, when asked.
  };
  struct Service {
    int32_t in_flight = 0;
    double mean = 0;  ///< As of `mean_ms`.
    int64_t mean_ms = 0;
    int64_t last_used_ms = 0;
    int64_t asked_ms = 0;  ///< When the newest reply was asked for.
    std::map<std::string, Demand> demands;  ///< By domain.
    std::map<std::string, int32_t> shares;
    std::map<std::string, int32_t> logged;
  };

  double MeanAt(const Service& service, int64_t now_ms) const;
  void AddInFlight(Service& service, int32_t change);
  /// @returns true if the demand of the domain is known and not too old
  bool HasDemand(const Service& service, const std::string& domain) const;
  DomainSharesInput BuildInput(
      const Service& service,
      const std::vector<const UpstreamInstance*>& ready,
      int64_t service_us,
      const ObservedTimes& times) const;
  std::map<std::string, double> CapacityOf(
      const std::vector<const UpstreamInstance*>& ready) const;
  std::map<std::pair<std::string, std::string>, int64_t> ExtraUs(
      const std::vector<DomainLoad>& domains,
      const ObservedTimes& times) const;
  std::string RegionOf(const std::string& domain) const;
  void SetShares(const std::string& name,
                 Service& service,
                 const DomainSharesInput& input,
                 const std::map<std::string, int32_t>& shares) const;

  const Init init_;
  const ClockI& clock_;
  std::map<std::string, Service> services_;
  /// Services of the requests in flight, by instance, and their number.
  std::map<std::string, std::pair<std::string, int32_t>> in_flight_;
  UpstreamTimes upstream_times_;
};

}  // namespace ring
