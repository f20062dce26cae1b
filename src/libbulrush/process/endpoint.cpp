#include "process/endpoint.h"

namespace bulrush {

std::string toString(const Endpoint &endpoint)
{
    const std::string port = std::to_string(endpoint.port);
    if (endpoint.address.find(':') != std::string::npos)
        return "[" + endpoint.address + "]:" + port;
    return endpoint.address + ":" + port;
}

} // namespace bulrush
