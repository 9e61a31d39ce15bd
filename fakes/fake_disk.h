#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "persimmonring/log.h"

namespace ring {

/// In-memory disk with scripted faults. Its contents outlive the FakeDisk
/// object. Bytes are durable only once synced. Not thread-safe.
class FakeDisk final : public DiskI {
 public:
  /// Stored files and scripted faults. Pass the same medium to a new FakeDisk
  /// to simulate a restart.
  struct Medium {
    struct File {
      std::string durable;
      std::string cached;  ///< What readers see until a power cut.
      /// Set by a failed sync. Later syncs then report success without writing
      /// the dirty pages that the failed one discarded, as real file systems
      /// do.
      bool pages_dropped = false;
    };
    std::map<std::string, File> files;
    int64_t operations = 0;  ///< Number of write operations so far.
    int64_t syncs = 0;
    uint64_t rewritten_bytes = 0;  ///< Bytes written by RewriteTail.
    /// 1-based number of the write operation that fails; 0: none fails.
    int64_t fail_at = 0;
    bool keep_failing = false;  ///< Later operations fail as well.
    Reason fail_reason = Reason::kStorageFailed;
    /// Number of bytes that a failing append still writes.
    size_t partial_bytes = 0;
  };

  class FakeFile final : public FileI {
   public:
    explicit FakeFile(std::string bytes) : bytes_(std::move(bytes)) {}
    Outcome<std::string> ReadAt(uint64_t offset, size_t bytes) const override {
      return offset < bytes_.size() ? bytes_.substr(offset, bytes)
                                    : std::string();
    }

   private:
    const std::string bytes_;
  };

  explicit FakeDisk(std::shared_ptr<Medium> medium)
      : medium_(std::move(medium)) {}

  /// Simulates a power cut: discards unsynced bytes and clears fail_at.
  /// @param kept_unsynced_bytes length of the prefix of each unsynced tail that
  ///        survives (torn write)
  static void CutPower(Medium& medium, size_t kept_unsynced_bytes = 0) {
    for (auto& [name, file] : medium.files) {
      std::string kept = file.durable;
      if (file.cached.starts_with(file.durable)) {
        kept += file.cached.substr(file.durable.size(), kept_unsynced_bytes);
      }
      file.pages_dropped = false;
      file.durable = kept;
      file.cached = std::move(kept);
    }
    std::erase_if(medium.files,
                  [](const auto& item) { return item.second.cached.empty(); });
    medium.fail_at = 0;
    medium.keep_failing = false;
  }

  static void FlipBit(Medium& medium, const std::string& name, size_t bit) {
    constexpr size_t kBitsPerByte = 8;
    Medium::File& file = medium.files.at(name);
    for (std::string* bytes : {&file.durable, &file.cached}) {
      (*bytes)[bit / kBitsPerByte] ^=
          static_cast<char>(1u << (bit % kBitsPerByte));
    }
  }

  Outcome<std::vector<std::string>> List() override {
    std::vector<std::string> names;
    for (const auto& [name, file] : medium_->files) {
      names.push_back(name);
    }
    return names;
  }

  Outcome<std::string> Read(const std::string& name) override {
    const auto found = medium_->files.find(name);
    if (found == medium_->files.end()) {
      return Refusal{Reason::kStorageFailed, RunState::kNotRun,
                     "no file " + name};
    }
    return found->second.cached;
  }

  Outcome<std::shared_ptr<const FileI>> OpenFile(
      const std::string& name) override {
    auto contents = Read(name);
    if (!contents) {
      return contents.refusal();
    }
    return std::shared_ptr<const FileI>(
        std::make_shared<FakeFile>(std::move(*contents)));
  }

  Status Append(const std::string& name, std::string_view bytes) override {
    if (Fails()) {
      medium_->files[name].cached += bytes.substr(0, medium_->partial_bytes);
      return Failure();
    }
    medium_->files[name].cached += bytes;
    return Done{};
  }

  Status Sync(const std::string& name) override {
    Medium::File& file = medium_->files[name];
    if (Fails()) {
      file.pages_dropped = true;
      return Failure();
    }
    ++medium_->syncs;
    if (!file.pages_dropped) {
      file.durable = file.cached;
    }
    return Done{};
  }

  Status Replace(const std::string& name, std::string_view bytes) override {
    if (Fails()) {
      return Failure();
    }
    ++medium_->syncs;
    medium_->files[name] = {std::string(bytes), std::string(bytes), false};
    return Done{};
  }

  Status RewriteTail(const std::string& name,
                     uint64_t offset,
                     std::string_view bytes) override {
    if (Fails()) {
      return Failure();
    }
    ++medium_->syncs;
    medium_->rewritten_bytes += bytes.size();
    Medium::File& file = medium_->files[name];
    file.cached.resize(offset);
    file.cached += bytes;
    // Discarded pages before the offset stay lost.
    if (!file.pages_dropped || offset <= file.durable.size()) {
      file.durable = file.cached;
      file.pages_dropped = false;
    }
    return Done{};
  }

  Status Rename(const std::string& from, const std::string& to) override {
    if (Fails()) {
      return Failure();
    }
    medium_->files[to] = std::move(medium_->files[from]);
    medium_->files.erase(from);
    return Done{};
  }

  Status Remove(const std::string& name) override {
    if (Fails()) {
      return Failure();
    }
    medium_->files.erase(name);
    return Done{};
  }

 private:
  bool Fails() {
    const int64_t number = ++medium_->operations;
    return medium_->fail_at != 0 &&
           (number == medium_->fail_at ||
            (medium_->keep_failing && number > medium_->fail_at));
  }

  Refusal Failure() const {
    return {medium_->fail_reason, RunState::kNotRun, "scripted fault"};
  }

  const std::shared_ptr<Medium> medium_;
};

}  // namespace ring
