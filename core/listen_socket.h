// Listening TCP sockets, for HTTP and for sessions.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string>

#include "core/clock.h"

namespace turmericshift {

// Throws Error(kInvalidInput) for no IPv4 address.
sockaddr_in SocketAddress(const std::string& ip, int port);

// Lets the time pass between two tries.
using Pause = std::function<void(Duration)>;
void SleepFor(Duration duration);

// Opens a listening socket on an IPv4 address; port 0 lets the system choose. A named port that is
// taken is tried again for some seconds: a process that is started again in place may come before
// the last connection of its predecessor has gone.
// Throws Error: kInvalidInput for what is no address, kUnavailable.
int ListenSocket(const std::string& address, int port, const Pause& pause = SleepFor);

// The port that the socket is bound to.
int BoundPort(int fd);

}  // namespace turmericshift
