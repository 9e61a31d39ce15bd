#pragma once

/// Parsing and application of release note bodies.

#include <map>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "persimmonring/control.h"

namespace ring {

/// @returns a discarded value if the body is not valid JSON or is nested too
///          deeply
nlohmann::json ParseNoteBody(const std::string& body);

/// @param item valid according to CheckNote
/// @returns "kind/name"
std::string ItemKey(const nlohmann::json& item);

/// @returns the keys of all items that the body adds, changes or withdraws
std::set<std::string> KeysOfNote(const std::string& body);

/// Applies a body that is valid according to CheckNote.
/// @returns bad_request, with `items` unchanged, if an added item exists or a
///          changed or withdrawn one does not
Status ApplyNoteBody(const std::string& body,
                     std::map<std::string, std::string>& items);

}  // namespace ring
