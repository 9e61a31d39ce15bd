#pragma once

/// A program as its group stores it, and its conversion to FlatBuffers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmonring/program.h"
#include "program.generated.h"

namespace ring {

/// State that owners see, and what only the group needs.
struct StoredProgram {
  ProgramState state;
  int64_t ended_wall_ms = 0;
  /// Attempt of the latest AbortCall: a late copy of its BeginCall must not
  /// begin the call again.
  std::string aborted_attempt;
  /// Nonce of the latest AcquireProgram.
  std::string acquire_nonce;
  /// True if the call under way leaves a cached prefix at its upstream.
  bool call_holds_cache = false;
  /// Idempotency keys of all calls, which outlive the kept answers.
  std::map<std::string, uint64_t, std::less<>> keys;
  int64_t history_tokens = 0;  ///< Derived from the history.

  CallRecord* FindCall(uint64_t sequence);
  /// @returns the call without an outcome, or nullptr
  CallRecord* CallUnderWay();
  const CallRecord* CallUnderWay() const;
};

/// Writes the state; with `internals` also what only the group needs.
flatbuffers::Offset<fb::ProgramRecord> WriteProgram(
    flatbuffers::FlatBufferBuilder& builder,
    const StoredProgram& program,
    bool internals);

/// @returns the program, or nullopt if a field is invalid
std::optional<StoredProgram> ReadProgram(const fb::ProgramRecord& record);

flatbuffers::Offset<fb::HolderRef> WriteUpstream(
    flatbuffers::FlatBufferBuilder& builder,
    const UpstreamId& upstream);
/// @returns an invalid id if the reference is null
UpstreamId ReadUpstream(const fb::HolderRef* ref);

/// @returns an invalid id if the text is missing or malformed
ProgramId ReadId(const flatbuffers::String* text);

/// An empty text stands for kNone, an unknown name for kInternal.
Reason ReadReason(const flatbuffers::String* text);
flatbuffers::Offset<flatbuffers::String> WriteReason(
    flatbuffers::FlatBufferBuilder& builder,
    Reason reason);

}  // namespace ring
