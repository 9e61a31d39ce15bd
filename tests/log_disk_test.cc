#include <filesystem>

#include <gtest/gtest.h>

#include <sys/stat.h>
#include <unistd.h>

#include "persimmonring/log.h"

namespace ring {
namespace {

class DiskTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = testing::TempDir() + "log_disk_XXXXXX";
    ASSERT_NE(mkdtemp(pattern.data()), nullptr);
    folder_ = pattern;
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  std::string folder_;
};

TEST_F(DiskTest, AppendSyncReplace_AreVisibleAfterReopen) {
  {
    auto disk = OpenDisk(folder_ + "/a/b", false);
    ASSERT_TRUE(disk) << disk.refusal().message;
    ASSERT_TRUE((*disk)->Append("log", "one"));
    ASSERT_TRUE((*disk)->Append("log", "two"));
    ASSERT_TRUE((*disk)->Sync("log"));
    ASSERT_TRUE((*disk)->Replace("snapshot", "s"));
    ASSERT_TRUE((*disk)->RewriteTail("log", 3, "t"));
    ASSERT_TRUE((*disk)->RewriteTail("new", 0, "s"));
    ASSERT_TRUE((*disk)->RewriteTail("new", 1, "tate"));
    ASSERT_TRUE((*disk)->Rename("new", "snapshot"));
  }
  auto disk = OpenDisk(folder_ + "/a/b", false);
  ASSERT_TRUE(disk);
  EXPECT_EQ(*(*disk)->Read("log"), "onet");
  EXPECT_EQ(*(*disk)->List(), (std::vector<std::string>{"log", "snapshot"}));
  EXPECT_EQ(*(*disk)->Read("snapshot"), "state");
  // An append after Replace() must not go to the descriptor of the old file.
  ASSERT_TRUE((*disk)->Append("log", "x"));
  ASSERT_TRUE((*disk)->Replace("log", "new"));
  ASSERT_TRUE((*disk)->Append("log", "y"));
  EXPECT_EQ(*(*disk)->Read("log"), "newy");
}

// Guards against two processes writing one log.
TEST_F(DiskTest, SecondWriterOfAFolder_IsRefusedUntilTheFirstCloses) {
  auto first = OpenDisk(folder_, false);
  ASSERT_TRUE(first);
  const auto second = OpenDisk(folder_, false);
  ASSERT_FALSE(second);
  EXPECT_NE(second.refusal().message.find("in use"), std::string::npos);
  EXPECT_TRUE(OpenDisk(folder_, true));
  first->reset();
  EXPECT_TRUE(OpenDisk(folder_, false));
}

// Guards against an error message that does not say that the disk is full.
TEST_F(DiskTest, AppendOnFullDevice_IsStorageFailedAndSaysFull) {
  std::filesystem::create_symlink("/dev/full", folder_ + "/log");
  auto disk = OpenDisk(folder_, false);
  const Status status = (*disk)->Append("log", "bytes");
  ASSERT_FALSE(status);
  EXPECT_EQ(status.refusal().reason, Reason::kStorageFailed);
  EXPECT_NE(status.refusal().message.find("disk is full"), std::string::npos);
}

TEST_F(DiskTest, UnusableFolders_AreRefusedWithTheirPath) {
  const std::string file = folder_ + "/file";
  ASSERT_TRUE((*OpenDisk(folder_, false))->Replace("file", "x"));
  // Like a read-only file system, /proc accepts no new folders.
  for (const std::string& path :
       {file, file + "/below", std::string("/proc/x")}) {
    const auto disk = OpenDisk(path, false);
    ASSERT_FALSE(disk) << path;
    EXPECT_EQ(disk.refusal().reason, Reason::kStorageFailed);
    EXPECT_NE(disk.refusal().message.find(path), std::string::npos);
  }
  EXPECT_FALSE(OpenDisk(folder_ + "/missing", true));
}

// Guards against detecting a folder without write permission only at the first
// append.
TEST_F(DiskTest, FolderWithoutWritePermission_IsRefusedAtOpen) {
  std::filesystem::permissions(folder_, std::filesystem::perms::owner_read |
                                            std::filesystem::perms::owner_exec);
  // Permissions do not apply to the superuser.
  const bool superuser = geteuid() == 0;
  constexpr uid_t kNobody = 65'534;
  ASSERT_TRUE(!superuser ||
              (chmod(folder_.c_str(), 0555) == 0 && seteuid(kNobody) == 0));
  const auto disk = OpenDisk(folder_, false);
  ASSERT_TRUE(!superuser || seteuid(0) == 0);
  ASSERT_FALSE(disk);
  EXPECT_NE(disk.refusal().message.find("not writable"), std::string::npos);
}

}  // namespace
}  // namespace ring
