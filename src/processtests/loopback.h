#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace turmericsill::processtests {

/// Opens a non-blocking connection to a loopback port with a small receive buffer; returns -1 if that fails.
int connectTo(std::uint16_t port);

/// Opens a non-blocking listening socket on a loopback port; 0 lets the system choose one.
int listenOn(std::uint16_t port);

/// Port that a socket is bound to.
std::uint16_t boundPort(int socket);

/// Loopback ports on which nothing listens.
std::vector<std::uint16_t> unusedPorts(std::size_t count);

/// Sends a request and returns what is received until the connection is closed or silent for 2 s.
std::string exchange(std::uint16_t port, const std::string& request);

} // namespace turmericsill::processtests
