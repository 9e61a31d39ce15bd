#pragma once

#include <string>
#include <string_view>

#include "persimmonring/wire.h"

namespace ring::wire {

// uint32 length | uint64 checksum, both little-endian.
constexpr size_t kHeaderBytes = 12;

// Payloads up to this size are not worth the processor time of compression.
constexpr size_t kCompressAboveBytes = 512;

// Traffic classes of the byte counters.
enum class Traffic : uint8_t { kRaft, kKeeper, kGossip, kForward, kControl };
constexpr size_t kTrafficCount = 5;
Traffic TrafficOf(FrameKind kind);
const char* ToString(Traffic traffic);

enum class Link : uint8_t { kDomain, kRegion, kOtherRegion };
constexpr size_t kLinkCount = 3;
const char* ToString(Link link);

struct FrameHeader {
  uint32_t length = 0;  // Bytes after the header.
  uint64_t checksum = 0;
};

// Precondition: at least kHeaderBytes.
FrameHeader ReadHeader(std::string_view bytes);

// Decodes the bytes after the header. Returns corrupt_data for a wrong
// checksum, a malformed table or a payload that does not decompress, and
// version_mismatch for another protocol version.
Outcome<Frame> DecodeFrame(const FrameHeader& header, std::string_view body);

// Payload of a Hello frame.
struct HelloInfo {
  std::string ring;
  PeerInfo peer;
};
std::string EncodeHello(const HelloInfo& hello);
// Returns corrupt_data if malformed or without a node name.
Outcome<HelloInfo> DecodeHello(std::string_view payload);

}  // namespace ring::wire
