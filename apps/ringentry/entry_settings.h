#pragma once

#include <string>
#include <vector>

#include "persimmonring/entry.h"
#include "persimmonring/keeper.h"

namespace ring {

/// All settings of ringentry.
SettingTable EntrySettingTable();

/// Checks what a single row cannot express.
void CheckEntrySettings(const Settings& settings, SettingErrorList& errors);

EntryInit ToEntryInit(const Settings& settings);
Hub::Init ToHubInit(const Settings& settings);
KeeperClientInit ToKeeperClientInit(const Settings& settings);
/// @returns the endpoints of a checked list of "ip:port"
std::vector<Endpoint> ToEndpoints(const std::vector<std::string>& list);

}  // namespace ring
