#pragma once

/// Stored form of a program and its conversion to and from FlatBuffers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmonring/program.h"
#include "program.generated.h"

namespace ring {

/// A program with the fields that only the state machine uses.
struct StoredProgram {
  ProgramState state;
  int64_t ended_wall_ms = 0;
  /// Attempt of the latest AbortCall. Refuses a delayed duplicate of its
  /// BeginCall.
  std::string aborted_attempt;
  /// Nonce of the latest acquire command, which makes its repetition a no-op.
  std::string acquire_nonce;
  /// True if the call in progress leaves a cached prefix at its upstream.
  bool call_holds_cache = false;
  /// Idempotency keys of all calls and their sequence numbers. They are kept
  /// longer than the answers.
  std::map<std::string, uint64_t, std::less<>> idempotency_keys;
  int64_t history_tokens = 0;  ///< Computed from the history.

  CallRecord* FindCall(uint64_t sequence);
  /// @returns the call in progress, or nullptr
  CallRecord* ActiveCall();
  const CallRecord* ActiveCall() const;
};

/// @param include_internal also writes the fields that only the state machine
///        uses
flatbuffers::Offset<fb::ProgramRecord> WriteProgram(
    flatbuffers::FlatBufferBuilder& builder,
    const StoredProgram& program,
    bool include_internal);

/// @returns nullopt if a field is out of range
std::optional<StoredProgram> ReadProgram(const fb::ProgramRecord& record);

flatbuffers::Offset<fb::HolderRef> WriteUpstream(
    flatbuffers::FlatBufferBuilder& builder,
    const UpstreamId& upstream);
/// @returns an invalid id if the reference is null
UpstreamId ReadUpstream(const fb::HolderRef* ref);

/// @returns an invalid id if the text is missing or malformed
ProgramId ReadId(const flatbuffers::String* text);

/// @returns kNone for an empty text, kInternal for an unknown name
Reason ReadReason(const flatbuffers::String* text);
flatbuffers::Offset<flatbuffers::String> WriteReason(
    flatbuffers::FlatBufferBuilder& builder,
    Reason reason);

}  // namespace ring
