#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "persimmonring/gateway.h"

namespace ring {

/// Part of the lease exchange of an entry that belongs to another module.
class LeasePartI {
 public:
  virtual ~LeasePartI() = default;
  /// Adds to the request that is about to be sent.
  virtual void AddTo(fb::LeaseRequestT& request) = 0;
  /// @param asked_ms when the request was made, on ClockI::BootMs()
  virtual void OnReply(const fb::LeaseReplyT& reply, int64_t asked_ms) = 0;
  /// @returns true if the part needs frequent exchanges at present
  virtual bool active() const = 0;
};

/// What an entry needs to serve teams. Runs on the loop thread.
class EntryLeaseI {
 public:
  enum class GrantResult : uint8_t {
    kGranted,
    kDenied,       ///< The quota of the team is used up.
    kUnreachable,  ///< No reply of a leader in time.
  };
  struct Grant {
    GrantResult result = GrantResult::kGranted;
    int64_t wait_ms = 0;  ///< With kDenied: time until there may be a grant.

    auto operator<=>(const Grant&) const = default;
  };
  using GrantCallback = std::function<void(const Grant&)>;

  virtual ~EntryLeaseI() = default;
  /// Called when a version of the configuration comes into force here.
  virtual void SetTable(std::shared_ptr<const RouteTable> table) = 0;
  /// Sets a callback for a reply that names a newer configuration.
  virtual void OnNewerVersion(
      std::function<void(uint64_t version)> callback) = 0;
  /// Must outlive the lease.
  virtual void AddPart(LeasePartI* part) = 0;
  /// Reads the boot clock: call it after the request was read, so that a time
  /// in which the process stood still counts.
  /// @returns true if the keys of the table may be accepted
  virtual bool keys_valid() const = 0;
  /// @returns ms since the table was last known to be the newest; -1: never
  virtual int64_t confirmed_ms_ago() const = 0;
  /// Spends a grant for a request that is about to be sent, or waits for one.
  /// @param callback called once, possibly before this returns
  /// @returns a ticket for CancelGrant(); 0 if the callback was called already
  virtual uint64_t AcquireGrant(const std::string& team,
                                bool starts_program,
                                int64_t max_wait_ms,
                                GrantCallback callback) = 0;
  virtual void CancelGrant(uint64_t ticket) = 0;
  /// Gives back a grant whose request was not sent, so that it does not count
  /// against the quota.
  virtual void ReturnGrant(const std::string& team, bool starts_program) = 0;
};

/// Renews the lease of this entry with the leader of the state group: it
/// confirms the configuration, grants requests of teams with a quota, and
/// exchanges the demand of services. Runs on the loop thread.
class EntryLease final : public EntryLeaseI {
 public:
  struct Init {
    std::string entry;  ///< Name and start of the entry.
    std::string domain;
    /// See GatewayInit::key_revocation_ms.
    int64_t key_revocation_ms = 0;
  };

  EntryLease(const Init& init,
             EventLoop& loop,
             StateClient& state,
             const ClockI& clock);
  ~EntryLease() override;

  // EntryLeaseI
  void SetTable(std::shared_ptr<const RouteTable> table) override;
  void OnNewerVersion(std::function<void(uint64_t version)> callback) override;
  void AddPart(LeasePartI* part) override;
  bool keys_valid() const override;
  int64_t confirmed_ms_ago() const override;
  uint64_t AcquireGrant(const std::string& team,
                        bool starts_program,
                        int64_t max_wait_ms,
                        GrantCallback callback) override;
  void CancelGrant(uint64_t ticket) override;
  void ReturnGrant(const std::string& team, bool starts_program) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
