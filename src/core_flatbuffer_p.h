#pragma once

/// Helpers that read and write the FlatBuffers of commands and results, and the
/// framing of snapshots.

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "flatbuffers/flatbuffers.h"
#include "persimmonring/core.h"

namespace ring {

/// Verified, read-only access to a FlatBuffer; null if verification failed.
/// FlatBuffers requires aligned input, but bytes inside a frame or a log record
/// may be unaligned: those are copied, aligned input is not. The input must
/// outlive the view.
template <typename T>
class FlatBufferView {
 public:
  explicit FlatBufferView(std::string_view bytes) {
    constexpr size_t kAlignment = 8;
    if (reinterpret_cast<uintptr_t>(bytes.data()) % kAlignment != 0) {
      copy_.assign(bytes);
      bytes = copy_;
    }
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!bytes.empty() && verifier.VerifyBuffer<T>(nullptr)) {
      root_ = flatbuffers::GetRoot<T>(data);
    }
  }
  FlatBufferView(const FlatBufferView&) = delete;
  FlatBufferView& operator=(const FlatBufferView&) = delete;

  explicit operator bool() const { return root_ != nullptr; }
  const T* operator->() const { return root_; }
  const T* get() const { return root_; }

 private:
  std::string copy_;
  const T* root_ = nullptr;
};

/// @returns the contents of an optional string field; empty if it is absent
inline std::string_view TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string_view() : text->string_view();
}

/// @returns a copy of the finished buffer
inline std::string BufferToString(
    const flatbuffers::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

/// Writes an optional string field.
/// @returns the offset of the string; null if the text is empty
inline flatbuffers::Offset<flatbuffers::String> CreateOptionalString(
    flatbuffers::FlatBufferBuilder& builder,
    std::string_view text) {
  return text.empty() ? flatbuffers::Offset<flatbuffers::String>()
                      : builder.CreateString(text.data(), text.size());
}

/// Appends a fixed-size value in host byte order, which is little-endian on all
/// supported VMs.
template <typename T>
void AppendValue(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

/// Reads a fixed-size value and removes it from the front of the input.
/// @returns false if the input is too short
template <typename T>
bool ReadValue(std::string_view& in, T& value) {
  if (in.size() < sizeof(T)) {
    return false;
  }
  std::memcpy(&value, in.data(), sizeof(T));
  in.remove_prefix(sizeof(T));
  return true;
}

/// Starts a snapshot with its magic number and format version.
/// @param size_hint expected size of the body, bytes; avoids reallocations
inline std::string BeginSnapshot(uint32_t magic,
                                 uint32_t version,
                                 size_t size_hint) {
  std::string out;
  out.reserve(size_hint + 2 * sizeof(uint32_t) + sizeof(uint64_t));
  AppendValue(out, magic);
  AppendValue(out, version);
  return out;
}

/// Appends the checksum of everything written so far.
inline void AppendSnapshotChecksum(std::string& snapshot) {
  AppendValue(snapshot, Checksum(snapshot));
}

/// Verifies the header and checksum of a complete snapshot.
/// @returns the body, corrupt_data if the snapshot is truncated or altered, or
///          version_mismatch for another format version
inline Outcome<std::string_view> VerifySnapshot(uint32_t magic,
                                                uint32_t version,
                                                std::string_view sealed) {
  const Refusal corrupt{
      Reason::kCorruptData, RunState::kNotRun,
      "snapshot is truncated, or its checksum or magic number is wrong"};
  if (sealed.size() < 2 * sizeof(uint32_t) + sizeof(uint64_t)) {
    return corrupt;
  }
  std::string_view tail = sealed.substr(sealed.size() - sizeof(uint64_t));
  std::string_view body = sealed.substr(0, sealed.size() - sizeof(uint64_t));
  uint64_t checksum = 0;
  uint32_t found_magic = 0;
  uint32_t found_version = 0;
  ReadValue(tail, checksum);
  if (checksum != Checksum(body) || !ReadValue(body, found_magic) ||
      !ReadValue(body, found_version) || found_magic != magic) {
    return corrupt;
  }
  if (found_version != version) {
    return Refusal{Reason::kVersionMismatch, RunState::kNotRun,
                   "unsupported snapshot format " +
                       std::to_string(found_version) + "; expected " +
                       std::to_string(version)};
  }
  return body;
}

}  // namespace ring
