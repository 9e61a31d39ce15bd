#pragma once

/// Bodies of release notes.

#include <map>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "persimmonring/control.h"

namespace ring {

/// @returns a discarded value if the body is not JSON
nlohmann::json ParseNoteBody(const std::string& body);

/// @param item checked by CheckNote
/// @returns "kind/name"
std::string ItemKey(const nlohmann::json& item);

/// @returns the keys of all items that a body adds, changes or withdraws
std::set<std::string> KeysOfNote(const std::string& body);

/// Applies a body that passed CheckNote.
/// @returns bad_request, without any change, if an added item exists or a
///          changed or withdrawn one does not
Status ApplyNoteBody(const std::string& body,
                     std::map<std::string, std::string>& items);

}  // namespace ring
