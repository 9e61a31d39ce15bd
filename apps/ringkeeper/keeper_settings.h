#pragma once

#include <vector>

#include "persimmonring/keeper.h"
#include "persimmonring/runtime.h"

namespace ring {

/// @returns the settings table of ringkeeper
SettingTable KeeperSettingTable();

/// Checks that span several settings, for example that a group lists this node
/// among its initial members.
void CheckKeeperSettings(const Settings& settings, SettingErrorList& errors);

/// Converts settings that CheckKeeperSettings has accepted.
KeeperHostInit ToHostInit(const Settings& settings);
Hub::Init ToHubInit(const Settings& settings);

}  // namespace ring
