#pragma once

/// Reading and writing of FlatBuffers for commands, results and snapshots.

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "flatbuffers/flatbuffers.h"
#include "persimmonring/core.h"

namespace ring {

/// A verified FlatBuffer. FlatBuffers needs aligned input, but a view into a
/// frame or a log record may start anywhere; only such input is copied.
template <typename T>
class FlatView {
 public:
  explicit FlatView(std::string_view bytes) {
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
  FlatView(const FlatView&) = delete;
  FlatView& operator=(const FlatView&) = delete;

  explicit operator bool() const { return root_ != nullptr; }
  const T* operator->() const { return root_; }
  const T* get() const { return root_; }

 private:
  std::string copy_;
  const T* root_ = nullptr;
};

/// @returns the text of an optional string field
inline std::string_view TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string_view() : text->string_view();
}

/// @returns the finished buffer as bytes
inline std::string BytesOf(const flatbuffers::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

/// @returns an offset that is null for an empty text
inline flatbuffers::Offset<flatbuffers::String> TextIn(
    flatbuffers::FlatBufferBuilder& builder,
    std::string_view text) {
  return text.empty() ? flatbuffers::Offset<flatbuffers::String>()
                      : builder.CreateString(text.data(), text.size());
}

/// Appends a value in host byte order (little-endian on all supported VMs).
template <typename T>
void AppendValue(std::string& out, T value) {
  char bytes[sizeof(T)];
  std::memcpy(bytes, &value, sizeof(T));
  out.append(bytes, sizeof(T));
}

/// Takes a value off the front.
/// @returns false if too few bytes are left
template <typename T>
bool TakeValue(std::string_view& in, T& value) {
  if (in.size() < sizeof(T)) {
    return false;
  }
  std::memcpy(&value, in.data(), sizeof(T));
  in.remove_prefix(sizeof(T));
  return true;
}

/// Starts a snapshot with magic and format version.
/// @param size_hint expected bytes of the body; saves copies of a large one
inline std::string BeginSnapshot(uint32_t magic,
                                 uint32_t version,
                                 size_t size_hint) {
  std::string out;
  out.reserve(size_hint + 2 * sizeof(uint32_t) + sizeof(uint64_t));
  AppendValue(out, magic);
  AppendValue(out, version);
  return out;
}

/// Ends a snapshot with a checksum over all before.
inline void SealSnapshot(std::string& snapshot) {
  AppendValue(snapshot, Checksum(snapshot));
}

/// @returns the body, or corrupt_data or version_mismatch
inline Outcome<std::string_view> OpenSnapshot(uint32_t magic,
                                              uint32_t version,
                                              std::string_view sealed) {
  const Refusal corrupt{Reason::kCorruptData, RunState::kNotRun,
                        "snapshot is damaged"};
  if (sealed.size() < 2 * sizeof(uint32_t) + sizeof(uint64_t)) {
    return corrupt;
  }
  std::string_view tail = sealed.substr(sealed.size() - sizeof(uint64_t));
  std::string_view body = sealed.substr(0, sealed.size() - sizeof(uint64_t));
  uint64_t checksum = 0;
  uint32_t found_magic = 0;
  uint32_t found_version = 0;
  TakeValue(tail, checksum);
  if (checksum != Checksum(body) || !TakeValue(body, found_magic) ||
      !TakeValue(body, found_version) || found_magic != magic) {
    return corrupt;
  }
  if (found_version != version) {
    return Refusal{Reason::kVersionMismatch, RunState::kNotRun,
                   "snapshot format " + std::to_string(found_version) +
                       ", this program reads " + std::to_string(version)};
  }
  return body;
}

}  // namespace ring
