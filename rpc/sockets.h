// TCP sockets of sessions.
#pragma once

#include <string>

namespace turmericshift {

// Connects to `ip`:`port` within `limit_ms`; the socket does not block. Throws Error: kInvalidInput
// for no IPv4 address, kUnavailable where nobody listens, kDeadlineExceeded where nothing answers.
int ConnectSocket(const std::string& ip, int port, int limit_ms);

// Has the kernel give a connection up whose peer answers nothing: a VM without power sends no
// reset, and what waits for it would wait for minutes.
void LimitSilence(int fd);

}  // namespace turmericshift
