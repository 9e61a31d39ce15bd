#pragma once

#include "persimmonring/core.h"

namespace ring::wire {

// Returns a non-blocking listening socket, or storage_failed.
Outcome<int> Listen(const Endpoint& endpoint);
// Starts a non-blocking connect. Returns the socket, or -1 on failure.
int StartConnect(const Endpoint& endpoint);
// Returns an accepted, non-blocking socket, or -1 if none is pending.
int Accept(int listen_fd);
// Returns true if the connect has reported no error.
bool ConnectSucceeded(int fd);

}  // namespace ring::wire
