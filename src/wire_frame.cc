#include "wire_frame_p.h"

#include <cstring>

#include <flatbuffers/flatbuffers.h>
#include <zstd.h>

namespace ring {
namespace {

// Level 1 takes about a third of the time of the default level.
constexpr int kZstdLevel = 1;

// Returns the compressed payload, or an empty string if that is not smaller.
std::string Compress(const std::string& payload) {
  std::string packed(ZSTD_compressBound(payload.size()), '\0');
  const size_t size = ZSTD_compress(packed.data(), packed.size(),
                                    payload.data(), payload.size(), kZstdLevel);
  if (ZSTD_isError(size) != 0 || size >= payload.size()) {
    return {};
  }
  packed.resize(size);
  return packed;
}

Refusal Corrupt(const char* what) {
  return {Reason::kCorruptData, RunState::kNotRun, what};
}

Outcome<std::string> Decompress(std::string_view packed) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  // Also true for ZSTD_CONTENTSIZE_ERROR and ZSTD_CONTENTSIZE_UNKNOWN, which
  // exceed any valid size.
  if (size > kMaxFrameBytes) {
    return Corrupt("invalid size of the compressed payload");
  }
  std::string payload(size, '\0');
  const size_t got = ZSTD_decompress(payload.data(), payload.size(),
                                     packed.data(), packed.size());
  if (ZSTD_isError(got) != 0 || got != size) {
    return Corrupt("the compressed payload is corrupt");
  }
  return payload;
}

template <typename T>
void PutLittleEndian(std::string& out, size_t at, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    out[at + i] = static_cast<char>((value >> (8 * i)) & 0xff);
  }
}

template <typename T>
T GetLittleEndian(std::string_view bytes, size_t at) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<uint8_t>(bytes[at + i])) << (8 * i);
  }
  return value;
}

std::string Text(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

}  // namespace

std::string EncodeFrame(const Frame& frame,
                        std::string_view from,
                        bool compress) {
  std::string packed;
  if (compress && frame.payload.size() > wire::kCompressThresholdBytes) {
    packed = Compress(frame.payload);
  }
  const std::string& payload = packed.empty() ? frame.payload : packed;
  constexpr size_t kTableBytes = 128;
  flatbuffers::FlatBufferBuilder builder(payload.size() + kTableBytes);
  flatbuffers::Offset<flatbuffers::Vector<uint8_t>> payload_at;
  flatbuffers::Offset<flatbuffers::String> group_at;
  flatbuffers::Offset<flatbuffers::String> from_at;
  if (!payload.empty()) {
    payload_at = builder.CreateVector(
        reinterpret_cast<const uint8_t*>(payload.data()), payload.size());
  }
  if (!frame.group.empty()) {
    group_at = builder.CreateString(frame.group);
  }
  if (!from.empty()) {
    from_at = builder.CreateString(from.data(), from.size());
  }
  builder.Finish(fb::CreateFrame(
      builder, kProtocolVersion, frame.kind, group_at, frame.correlation,
      from_at, packed.empty() ? fb::Compression::None : fb::Compression::Zstd,
      payload_at));
  std::string out(wire::kHeaderBytes + builder.GetSize(), '\0');
  std::memcpy(out.data() + wire::kHeaderBytes, builder.GetBufferPointer(),
              builder.GetSize());
  PutLittleEndian<uint32_t>(out, 0, builder.GetSize());
  PutLittleEndian<uint64_t>(
      out, sizeof(uint32_t),
      Checksum(std::string_view(out).substr(wire::kHeaderBytes)));
  return out;
}

namespace wire {

TrafficClass TrafficClassOf(FrameKind kind) {
  switch (kind) {
    case FrameKind::Raft:
      return TrafficClass::kRaft;
    case FrameKind::KeeperRequest:
    case FrameKind::KeeperReply:
      return TrafficClass::kKeeper;
    case FrameKind::Gossip:
      return TrafficClass::kGossip;
    case FrameKind::ForwardCall:
    case FrameKind::ForwardChunk:
    case FrameKind::ForwardEnd:
    case FrameKind::CancelForward:
      return TrafficClass::kForward;
    default:
      return TrafficClass::kControl;
  }
}

const char* ToString(TrafficClass traffic) {
  static constexpr const char* kNames[kTrafficClassCount] = {
      "raft", "keeper", "gossip", "forward", "control"};
  return kNames[static_cast<size_t>(traffic)];
}

const char* ToString(Link link) {
  static constexpr const char* kNames[kLinkCount] = {"domain", "region",
                                                     "other_region"};
  return kNames[static_cast<size_t>(link)];
}

FrameHeader ReadHeader(std::string_view bytes) {
  return {.length = GetLittleEndian<uint32_t>(bytes, 0),
          .checksum = GetLittleEndian<uint64_t>(bytes, sizeof(uint32_t))};
}

Outcome<Frame> DecodeFrame(const FrameHeader& header, std::string_view body) {
  if (Checksum(body) != header.checksum) {
    return Corrupt("frame checksum mismatch");
  }
  // FlatBuffers needs 8-byte alignment for 64-bit fields; the copy provides it.
  const std::string aligned(body);
  const auto* bytes = reinterpret_cast<const uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, aligned.size());
  if (!verifier.VerifyBuffer<fb::Frame>(nullptr)) {
    return Corrupt("malformed frame table");
  }
  const auto* table = flatbuffers::GetRoot<fb::Frame>(bytes);
  if (table->protocol_version() != kProtocolVersion) {
    return Refusal{Reason::kVersionMismatch, RunState::kNotRun,
                   "unsupported protocol version " +
                       std::to_string(table->protocol_version())};
  }
  if (table->kind() > FrameKind::MAX) {
    return Corrupt("unknown frame kind");
  }
  Frame frame{.kind = table->kind(),
              .group = Text(table->group()),
              .correlation = table->correlation()};
  if (const auto* payload = table->payload()) {
    const std::string_view packed(
        reinterpret_cast<const char*>(payload->data()), payload->size());
    if (table->compression() == fb::Compression::None) {
      frame.payload = packed;
    } else {
      auto plain = Decompress(packed);
      if (!plain) {
        return plain.refusal();
      }
      frame.payload = std::move(*plain);
    }
  }
  return frame;
}

std::string EncodeHello(const HelloInfo& hello) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateHelloDirect(
      builder, hello.ring.c_str(), hello.peer.node.c_str(),
      hello.peer.domain.c_str(), hello.peer.region.c_str(),
      hello.peer.incarnation, hello.peer.relay.c_str()));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Outcome<HelloInfo> DecodeHello(std::string_view payload) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(payload.data());
  flatbuffers::Verifier verifier(bytes, payload.size());
  if (!verifier.VerifyBuffer<fb::Hello>(nullptr)) {
    return Corrupt("malformed Hello payload");
  }
  const auto* table = flatbuffers::GetRoot<fb::Hello>(bytes);
  HelloInfo hello{.ring = Text(table->ring()),
                  .peer = {.node = Text(table->node()),
                           .domain = Text(table->domain()),
                           .region = Text(table->region()),
                           .incarnation = table->incarnation(),
                           .relay = Text(table->relay())}};
  if (hello.peer.node.empty()) {
    return Corrupt("the Hello payload has no node name");
  }
  return hello;
}

}  // namespace wire
}  // namespace ring
