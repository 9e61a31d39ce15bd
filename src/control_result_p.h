#pragma once

/// Encoding of the results of the control state machine.

#include <string>

#include "persimmonring/control.h"

namespace ring::control_result {

/// @param refusal kNone as its reason encodes success
std::string Encode(const Refusal& refusal);
std::string Encode(const Outcome<NoteResult>& outcome);
std::string Encode(const Outcome<ReconcilerLease>& outcome);
std::string Encode(const ControlView& view);

}  // namespace ring::control_result
