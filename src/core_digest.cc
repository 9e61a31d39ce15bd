#include "persimmonring/core.h"

#include <array>
#include <vector>

#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace ring {
namespace {

std::string ToHex(const unsigned char* bytes, size_t size) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[bytes[i] >> 4]);
    text.push_back(kDigits[bytes[i] & 15]);
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

uint64_t Checksum(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

class RunningChecksum::State {
 public:
  State() : hash_(XXH3_createState()) {
    RING_CHECK(hash_ != nullptr && XXH3_64bits_reset(hash_) == XXH_OK);
  }
  ~State() { XXH3_freeState(hash_); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  XXH3_state_t* hash() { return hash_; }

 private:
  XXH3_state_t* const hash_;
};

RunningChecksum::RunningChecksum() : state_(std::make_unique<State>()) {}
RunningChecksum::~RunningChecksum() = default;

void RunningChecksum::Add(std::string_view bytes) {
  XXH3_64bits_update(state_->hash(), bytes.data(), bytes.size());
}

uint64_t RunningChecksum::value() const {
  return XXH3_64bits_digest(state_->hash());
}

std::string RandomHex(size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  RING_CHECK(RAND_bytes(buffer.data(), static_cast<int>(bytes)) == 1);
  return ToHex(buffer.data(), buffer.size());
}

}  // namespace ring
