#pragma once

#include <functional>
#include <memory>

#include "persimmonring/runtime.h"

namespace ring {

/// Serves health probes: /healthz (200 while the process runs) and /readyz (200
/// if ready, 503 otherwise).
class HealthServer {
 public:
  /// @returns storage_failed if the port is in use
  static Outcome<std::unique_ptr<HealthServer>> Create(
      const Endpoint& endpoint,
      std::function<bool()> ready);
  ~HealthServer();

  /// Supervised worker: serves until Wake is called.
  Status Run(const StopToken& stop);
  void Wake();

 private:
  class Impl;
  explicit HealthServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
