#include "process/servernamelist.h"

namespace bulrush::io {

Json::Value jsonOf(std::span<const ServerName> servers)
{
    Json::Value json{Json::arrayValue};
    for (const ServerName &server : servers)
        json.append(server.value());
    return json;
}

std::vector<ServerName> readServerNames(JsonReader &reader, const char *name)
{
    std::vector<ServerName> servers;
    for (const Json::Value &entry : reader.list(name)) {
        if (entry.isString())
            servers.emplace_back(entry.asString());
        else
            reader.fail();
    }
    return servers;
}

} // namespace bulrush::io
