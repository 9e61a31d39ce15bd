#pragma once

#include "persimmonring/core.h"

namespace ring::wire {

// Returns a non-blocking listener, or storage_failed with text.
Outcome<int> Listen(const Endpoint& endpoint);
// Returns a non-blocking socket whose connect has started, or -1.
int StartConnect(const Endpoint& endpoint);
// Returns a non-blocking accepted socket, or -1 if none waits.
int Accept(int listen_fd);
// Returns true if a started connect succeeded.
bool ConnectSucceeded(int fd);

}  // namespace ring::wire
