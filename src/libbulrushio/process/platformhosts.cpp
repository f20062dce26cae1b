#include "process/platformhosts.h"

#include "process/jsonreader.h"
#include "process/platformerror.h"
#include "process/platformtablecodec.h"

#include <optional>
#include <string_view>

namespace bulrush::io {

namespace {

std::optional<ListedHost::Kind> decodeKind(std::string_view name)
{
    if (name == "entry")
        return ListedHost::Kind::Entry;
    if (name == "server")
        return ListedHost::Kind::Server;

    return std::nullopt;
}

std::optional<ListedHost::State> decodeState(std::string_view name)
{
    if (name == "live")
        return ListedHost::State::Live;
    if (name == "leaving")
        return ListedHost::State::Leaving;

    return std::nullopt;
}

std::optional<ListedHost> decodeHost(const Json::Value &json)
{
    JsonReader reader{json};
    const auto kind = decodeKind(reader.text("kind"));
    const auto state = decodeState(reader.text("state"));
    ListedHost host;
    host.name = reader.text("name");
    host.domain = reader.text("domain");
    host.address = reader.text("address");
    if (!reader.isValid() || !kind || !state)
        return std::nullopt;

    host.kind = *kind;
    host.state = *state;
    return host;
}

} // namespace

HostsResult decodeHosts(const HttpResult &result)
{
    HostsResult hosts;
    hosts.error = platformErrorOf(result);
    if (hosts.error)
        return hosts;

    const Json::Value body = parseJson(result.response.body);
    JsonReader reader{body};
    hosts.age = std::chrono::milliseconds{reader.number("ageMs")};
    for (const Json::Value &entry : reader.list("hosts")) {
        if (auto host = decodeHost(entry))
            hosts.hosts.push_back(*std::move(host));
        else
            ++hosts.ignoredCount;
    }
    if (!reader.isValid())
        return {PlatformError::BadAnswer, {}, {}, 0};

    return hosts;
}

} // namespace bulrush::io
