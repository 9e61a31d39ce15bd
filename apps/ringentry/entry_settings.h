#pragma once

#include <string>
#include <vector>

#include "persimmonring/entry.h"
#include "persimmonring/keeper.h"

namespace ring {

/// @returns the settings table of ringentry
SettingTable EntrySettingTable();

/// Checks that span several settings, for example that all addresses differ,
/// and the formats of names and address lists.
void CheckEntrySettings(const Settings& settings, SettingErrorList& errors);

EntryInit ToEntryInit(const Settings& settings);
Hub::Init ToHubInit(const Settings& settings);
KeeperClientInit ToKeeperClientInit(const Settings& settings);
/// @returns the endpoints of a list of "ip:port"; others are skipped, because
///          CheckEntrySettings reports them
std::vector<Endpoint> ToEndpoints(const std::vector<std::string>& list);

}  // namespace ring
