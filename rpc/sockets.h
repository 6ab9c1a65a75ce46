// TCP sockets for sessions.
#pragma once

#include <string>

namespace turmericshift {

// Connects to `ip`:`port` within `timeout_ms` and returns a non-blocking socket. Throws
// Error(kInvalidInput) if `ip` is not an IPv4 address, Error(kDeadlineExceeded) if the peer does
// not respond in time, and Error(kUnavailable) if the connection fails for another reason.
int ConnectSocket(const std::string& ip, int port, int timeout_ms);

// Makes the kernel end the connection within a few seconds if its peer stops responding. A VM that
// loses power sends no reset, so calls to it would otherwise wait for minutes.
void EnableDeadPeerDetection(int fd);

}  // namespace turmericshift
