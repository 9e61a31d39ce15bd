#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ring::fakes {

/// Options of ringfake; main.cc maps them to command line flags.
struct Options {
  std::string kind = "engine";
  std::string name = "fake";
  std::string ip = "127.0.0.1";
  uint16_t port = 0;
  std::string domain = "domain";
  std::string region = "region";
  std::vector<std::string> models;
  std::vector<std::string> services;
  std::vector<std::string> entries;  ///< Entries to announce to, ip:port.
  int32_t threads = 128;
  int32_t max_in_flight = 0;  ///< Announced capacity; 0: max_batch.
  int64_t announce_period_ms = 1'000;
  int64_t leave_grace_ms = 3'000;
  uint64_t seed = 1;

  // Engine only.
  double prefill_tokens_per_ms = 10;
  double decode_base_ms = 5;          ///< Step time at batch size 0.
  double decode_per_sequence_ms = 1;  ///< Added per sequence of the batch.
  int64_t prefill_chunk_tokens = 512;
  int32_t max_batch = 16;
  int32_t max_waiting = 1'024;
  int64_t cache_tokens = 200'000;
  int64_t answer_tokens_min = 8;
  int64_t answer_tokens_max = 32;
  int64_t load_lag_ms = 0;
  int64_t event_delay_ms = 0;
  double event_loss = 0;  ///< Fraction of cache events that are lost.
  double transfer_tokens_per_ms = 1'000;
  int64_t order_ms = 0;
  bool ignore_fence = false;

  // Service only.
  int64_t delay_ms = 0;
  std::string break_mode = "none";  ///< Service kind of Faults, or "none".
};

}  // namespace ring::fakes
