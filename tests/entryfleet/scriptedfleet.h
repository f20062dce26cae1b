#pragma once

#include "entryfleet/checkedfleet.h"
#include "entryfleet/scriptedbackend.h"

#include <string>
#include <utility>

namespace bulrush::test {

/** One daemon, and a scripted backend server as the only server of the service payments. */
struct ScriptedFleet : CheckedFleet
{
    explicit ScriptedFleet(ScriptedServer::Script script)
        : CheckedFleet({"a1"})
        , backend(std::move(script))
    {
        writeConfig();
        startServer({"c1", "catalogue", "a", true});
        writeRecordOf({"p0", "payments", "a"}, backend.address());
        startDaemons();
        waitUntilServing();
    }

    ScriptedBackend backend;
};

/** \returns the request id in \a head. */
inline std::string idOf(const std::string &head)
{
    const std::string field = "X-Bulrushswitch-Request-Id: ";
    const std::size_t place = head.find(field);
    if (place == std::string::npos)
        return {};
    const std::size_t start = place + field.size();
    return head.substr(start, head.find('\r', start) - start);
}

} // namespace bulrush::test
