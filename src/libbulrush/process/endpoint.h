#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bulrush {

/** IP address and port. Port 0 in a listen address means any free port. */
struct Endpoint
{
    /** IPv4 address, or IPv6 address without brackets; never a host name. */
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/** \returns "ADDRESS:PORT", with brackets around an IPv6 address. Thread safe. */
std::string toString(const Endpoint &endpoint);

} // namespace bulrush
