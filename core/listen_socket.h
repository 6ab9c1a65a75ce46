// Listening TCP sockets for the HTTP server and the RPC sessions.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string>

#include "core/clock.h"

namespace turmericshift {

// Throws Error(kInvalidInput) if `ip` is not an IPv4 address.
sockaddr_in SocketAddress(const std::string& ip, int port);

// Waits for the given time between two attempts; tests replace this function.
using Pause = std::function<void(Duration)>;
void SleepFor(Duration duration);

// Opens a listening socket on an IPv4 address; port 0 lets the system choose a port. If a given
// port is in use, retries for about 5 s, since a process that is restarted in place may start
// before the last connection of its predecessor is closed. Throws Error: kInvalidInput if `address`
// is not an IPv4 address, kUnavailable if listening fails.
int ListenSocket(const std::string& address, int port, const Pause& pause = SleepFor);

// Returns the port that the socket `fd` is bound to.
int BoundPort(int fd);

}  // namespace turmericshift
