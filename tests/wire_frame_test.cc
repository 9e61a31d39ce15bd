#include <gtest/gtest.h>

#include "wire_frame_p.h"

namespace ring {
namespace {

Outcome<Frame> Decode(const std::string& bytes) {
  return wire::DecodeFrame(wire::ReadHeader(bytes),
                           std::string_view(bytes).substr(wire::kHeaderBytes));
}

Frame Sample(size_t payload_bytes) {
  return {.kind = FrameKind::Raft,
          .group = "salem",
          .correlation = 7,
          .payload = std::string(payload_bytes, 'x')};
}

// Guards against fields that encoding or decoding drops.
TEST(WireFrameCodec, EncodedFrame_DecodesToTheSame) {
  for (const bool compress : {false, true}) {
    const Frame frame = Sample(2'000);
    const auto decoded = Decode(EncodeFrame(frame, "node", compress));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(*decoded, frame);
  }
}

// Guards against small payloads being compressed and large ones not.
TEST(WireFrameCodec, Compression_AppliesOnlyAboveLimit) {
  const auto size = [](size_t payload, bool compress) {
    return EncodeFrame(Sample(payload), "", compress).size();
  };
  EXPECT_EQ(size(wire::kCompressThresholdBytes, true),
            size(wire::kCompressThresholdBytes, false));
  EXPECT_LT(size(wire::kCompressThresholdBytes + 1, true), 200u);
}

// Guards against Pings that exceed the control-traffic budget of 4 KB/s per
// node.
TEST(WireFrameCodec, Ping_TakesAtMost48Bytes) {
  EXPECT_LE(EncodeFrame({}, {}, false).size(), 48u);
}

// Guards against damaged frames that crash the decoder or are accepted.
TEST(WireFrameCodec, MutatedFrames_AreRefusedOrVerified) {
  const uint64_t seed = std::random_device{}();
  RecordProperty("seed", std::to_string(seed));
  SCOPED_TRACE("seed " + std::to_string(seed));
  Rng rng(seed);
  const std::string good = EncodeFrame(Sample(1'500), "node", true);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = good;
    const auto flips = UniformInt(rng, 1, 6);
    for (int64_t i = 0; i < flips; ++i) {
      const auto at = UniformInt(rng, wire::kHeaderBytes,
                                 static_cast<int64_t>(bytes.size()) - 1);
      bytes[static_cast<size_t>(at)] =
          static_cast<char>(UniformInt(rng, 0, 255));
    }
    if (rng() % 4 == 0) {
      bytes.resize(wire::kHeaderBytes + rng() % (bytes.size() - 12));
    }
    const bool changed = bytes != good;
    EXPECT_EQ(Decode(bytes).ok(), !changed);
    // With a recomputed checksum, only the FlatBuffers verifier can detect the
    // damage.
    const std::string_view body =
        std::string_view(bytes).substr(wire::kHeaderBytes);
    const auto checked =
        wire::DecodeFrame({.length = static_cast<uint32_t>(body.size()),
                           .checksum = Checksum(body)},
                          body);
    if (!checked) {
      EXPECT_NE(checked.refusal().reason, Reason::kNone);
    }
  }
}

}  // namespace
}  // namespace ring
