#pragma once

#include <string>
#include <string_view>

#include "persimmonring/wire.h"

namespace ring::wire {

// Size of the header: uint32 length, uint64 checksum, both little-endian.
constexpr size_t kHeaderBytes = 12;

// Compressing payloads up to this size costs more CPU time than it saves.
constexpr size_t kCompressThresholdBytes = 512;

// Traffic class of a frame: "class" label of ring_wire_bytes_total.
enum class TrafficClass : uint8_t {
  kRaft,
  kKeeper,
  kGossip,
  kForward,
  kControl
};
constexpr size_t kTrafficClassCount = 5;
TrafficClass TrafficClassOf(FrameKind kind);
const char* ToString(TrafficClass traffic);

// Relative location of the peer: "link" label of ring_wire_bytes_total.
enum class Link : uint8_t { kDomain, kRegion, kOtherRegion };
constexpr size_t kLinkCount = 3;
const char* ToString(Link link);

struct FrameHeader {
  uint32_t length = 0;  // Bytes after the header.
  uint64_t checksum = 0;
};

// Decodes a header; requires at least kHeaderBytes bytes.
FrameHeader ReadHeader(std::string_view bytes);

// Decodes the bytes after the header. Returns corrupt_data for a checksum
// mismatch, a malformed table, an unknown frame kind or a payload that cannot
// be decompressed, and version_mismatch for another protocol version.
Outcome<Frame> DecodeFrame(const FrameHeader& header, std::string_view body);

// Payload of a Hello frame.
struct HelloInfo {
  std::string ring;
  PeerInfo peer;
};
std::string EncodeHello(const HelloInfo& hello);
// Returns corrupt_data if the payload is malformed or has no node name.
Outcome<HelloInfo> DecodeHello(std::string_view payload);

}  // namespace ring::wire
