#include "persimmonring/log.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace ring {
namespace {

constexpr char kLockFile[] = "lock";
constexpr char kTemporarySuffix[] = ".tmp";

Refusal StorageError(const std::string& what,
                     const std::string& path,
                     int error) {
  std::string text = what + " " + path + ": " + std::strerror(error);
  if (error == ENOSPC || error == EDQUOT) {
    text += " (the disk is full)";
  } else if (error == EROFS || error == EACCES || error == EPERM) {
    text += " (the folder is not writable)";
  }
  return {Reason::kStorageFailed, RunState::kNotRun, text};
}

// Owns and closes a file descriptor.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  ~FileDescriptor() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }

 private:
  int fd_;
};

Status WriteAll(int fd, std::string_view bytes, const std::string& path) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(fd, bytes.data(), bytes.size());
    if (written < 0) {
      if (errno == EINTR) {
        continue;
      }
      return StorageError("cannot write", path, errno);
    }
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return Done{};
}

class DiskFile final : public FileI {
 public:
  DiskFile(std::string path, FileDescriptor file)
      : path_(std::move(path)), file_(std::move(file)) {}

  Outcome<std::string> ReadAt(uint64_t offset, size_t bytes) const override {
    std::string found(bytes, '\0');
    size_t bytes_read = 0;
    while (bytes_read < bytes) {
      const ssize_t count =
          ::pread(file_.get(), found.data() + bytes_read, bytes - bytes_read,
                  static_cast<off_t>(offset + bytes_read));
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return StorageError("cannot read", path_, errno);
      }
      if (count == 0) {
        break;
      }
      bytes_read += static_cast<size_t>(count);
    }
    found.resize(bytes_read);
    return found;
  }

 private:
  const std::string path_;
  const FileDescriptor file_;
};

class FolderDisk final : public DiskI {
 public:
  FolderDisk(std::string folder, FileDescriptor directory, FileDescriptor lock)
      : folder_(std::move(folder)),
        directory_(std::move(directory)),
        lock_(std::move(lock)) {}

  Outcome<std::vector<std::string>> List() override {
    DIR* stream = ::opendir(folder_.c_str());
    if (stream == nullptr) {
      return StorageError("cannot list", folder_, errno);
    }
    std::vector<std::string> names;
    while (const dirent* entry = ::readdir(stream)) {
      const std::string name = entry->d_name;
      if (name != "." && name != ".." && name != kLockFile) {
        names.push_back(name);
      }
    }
    ::closedir(stream);
    std::sort(names.begin(), names.end());
    return names;
  }

  Outcome<std::string> Read(const std::string& name) override {
    const FileDescriptor file(
        ::openat(directory_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.valid()) {
      return StorageError("cannot open", Path(name), errno);
    }
    struct stat info = {};
    if (::fstat(file.get(), &info) != 0) {
      return StorageError("cannot read", Path(name), errno);
    }
    std::string bytes(static_cast<size_t>(info.st_size), '\0');
    size_t bytes_read = 0;
    while (bytes_read < bytes.size()) {
      const ssize_t count = ::read(file.get(), bytes.data() + bytes_read,
                                   bytes.size() - bytes_read);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return StorageError("cannot read", Path(name), errno);
      }
      if (count == 0) {
        break;
      }
      bytes_read += static_cast<size_t>(count);
    }
    bytes.resize(bytes_read);
    return bytes;
  }

  Outcome<std::shared_ptr<const FileI>> OpenFile(
      const std::string& name) override {
    FileDescriptor file(
        ::openat(directory_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.valid()) {
      return StorageError("cannot open", Path(name), errno);
    }
    return std::shared_ptr<const FileI>(
        std::make_shared<DiskFile>(Path(name), std::move(file)));
  }

  Status Append(const std::string& name, std::string_view bytes) override {
    const auto fd = OpenForAppend(name);
    if (!fd) {
      return fd.refusal();
    }
    return WriteAll(*fd, bytes, Path(name));
  }

  Status Sync(const std::string& name) override {
    const bool opened = append_name_ == name && append_.valid();
    const FileDescriptor other(opened ? -1
                                      : ::openat(directory_.get(), name.c_str(),
                                                 O_WRONLY | O_CLOEXEC));
    const int fd = opened ? append_.get() : other.get();
    if (fd < 0) {
      return StorageError("cannot open", Path(name), errno);
    }
    if (::fdatasync(fd) != 0) {
      return StorageError("cannot sync", Path(name), errno);
    }
    if (folder_changed_) {
      return SyncFolder();
    }
    return Done{};
  }

  Status Replace(const std::string& name, std::string_view bytes) override {
    if (append_name_ == name) {
      append_ = FileDescriptor();
      append_name_.clear();
    }
    const std::string temporary = name + kTemporarySuffix;
    {
      const FileDescriptor file(
          ::openat(directory_.get(), temporary.c_str(),
                   O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
      if (!file.valid()) {
        return StorageError("cannot create", Path(temporary), errno);
      }
      if (Status status = WriteAll(file.get(), bytes, Path(temporary));
          !status) {
        return status;
      }
      if (::fsync(file.get()) != 0) {
        return StorageError("cannot sync", Path(temporary), errno);
      }
    }
    if (::renameat(directory_.get(), temporary.c_str(), directory_.get(),
                   name.c_str()) != 0) {
      return StorageError("cannot rename", Path(temporary), errno);
    }
    return SyncFolder();
  }

  Status RewriteTail(const std::string& name,
                     uint64_t offset,
                     std::string_view bytes) override {
    const FileDescriptor file(::openat(directory_.get(), name.c_str(),
                                       O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
    const auto end = static_cast<off_t>(offset + bytes.size());
    if (!file.valid() || ::ftruncate(file.get(), end) != 0 ||
        ::lseek(file.get(), static_cast<off_t>(offset), SEEK_SET) < 0) {
      return StorageError("cannot truncate", Path(name), errno);
    }
    if (Status status = WriteAll(file.get(), bytes, Path(name)); !status) {
      return status;
    }
    if (::fsync(file.get()) != 0) {
      return StorageError("cannot sync", Path(name), errno);
    }
    return Done{};
  }

  Status Rename(const std::string& from, const std::string& to) override {
    if (append_name_ == from || append_name_ == to) {
      append_ = FileDescriptor();
      append_name_.clear();
    }
    if (::renameat(directory_.get(), from.c_str(), directory_.get(),
                   to.c_str()) != 0) {
      return StorageError("cannot rename", Path(from), errno);
    }
    return SyncFolder();
  }

  Status Remove(const std::string& name) override {
    if (::unlinkat(directory_.get(), name.c_str(), 0) != 0) {
      return StorageError("cannot remove", Path(name), errno);
    }
    return SyncFolder();
  }

 private:
  std::string Path(const std::string& name) const {
    return folder_ + "/" + name;
  }

  // The file that was appended to last stays open, because a keeper appends to
  // one file only.
  Outcome<int> OpenForAppend(const std::string& name) {
    if (append_name_ == name && append_.valid()) {
      return append_.get();
    }
    FileDescriptor file(::openat(directory_.get(), name.c_str(),
                                 O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                                 0600));
    if (!file.valid()) {
      return StorageError("cannot open", Path(name), errno);
    }
    append_ = std::move(file);
    append_name_ = name;
    folder_changed_ = true;
    return append_.get();
  }

  Status SyncFolder() {
    if (::fsync(directory_.get()) != 0) {
      return StorageError("cannot sync", folder_, errno);
    }
    folder_changed_ = false;
    return Done{};
  }

  const std::string folder_;
  FileDescriptor directory_;
  FileDescriptor lock_;
  FileDescriptor append_;
  std::string append_name_;
  bool folder_changed_ = false;
};

// Creates the missing folders of the path and syncs the parent of each, so that
// they survive a power cut.
Status CreateFolders(const std::string& folder) {
  size_t end = 0;
  while (end != std::string::npos) {
    end = folder.find('/', end + 1);
    const std::string part = folder.substr(0, end);
    if (::mkdir(part.c_str(), 0700) == 0) {
      const size_t slash = part.rfind('/');
      const std::string parent = slash == std::string::npos ? "."
                                 : slash == 0               ? "/"
                                              : part.substr(0, slash);
      const FileDescriptor directory(
          ::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
      if (!directory.valid() || ::fsync(directory.get()) != 0) {
        return StorageError("cannot sync", parent, errno);
      }
    } else if (errno != EEXIST) {
      return StorageError("cannot create", part, errno);
    }
  }
  return Done{};
}

Outcome<FileDescriptor*> LockFolder(const FileDescriptor& directory,
                                    const std::string& folder,
                                    FileDescriptor& lock) {
  lock = FileDescriptor(
      ::openat(directory.get(), kLockFile, O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock.valid()) {
    return StorageError("cannot create", folder + "/" + kLockFile, errno);
  }
  if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
    if (errno == EWOULDBLOCK) {
      return Refusal{Reason::kStorageFailed, RunState::kNotRun,
                     "folder " + folder + " is in use by another process"};
    }
    return StorageError("cannot lock", folder, errno);
  }
  return &lock;
}

}  // namespace

Outcome<std::unique_ptr<DiskI>> OpenDisk(const std::string& folder,
                                         bool read_only) {
  if (!read_only) {
    if (Status status = CreateFolders(folder); !status) {
      return status.refusal();
    }
  }
  FileDescriptor directory(
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!directory.valid()) {
    return StorageError("cannot open", folder, errno);
  }
  FileDescriptor lock;
  if (!read_only) {
    if (const auto locked = LockFolder(directory, folder, lock); !locked) {
      return locked.refusal();
    }
  }
  return std::unique_ptr<DiskI>(std::make_unique<FolderDisk>(
      folder, std::move(directory), std::move(lock)));
}

}  // namespace ring
