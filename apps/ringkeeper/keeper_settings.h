#pragma once

#include <vector>

#include "persimmonring/keeper.h"
#include "persimmonring/runtime.h"

namespace ring {

/// @returns the settings table of ringkeeper
SettingTable KeeperSettingTable();

/// Checks that span several settings, for example that a group lists this node
/// among its initial members.
/// @param text contents of the file, for line numbers
std::vector<SettingError> CheckKeeperSettings(const Settings& settings,
                                              const std::string& file,
                                              const std::string& text);

/// @returns the host description of checked settings
KeeperHostInit ToHostInit(const Settings& settings);
Hub::Init ToHubInit(const Settings& settings);
LogInit ToLogInit(const Settings& settings);

}  // namespace ring
