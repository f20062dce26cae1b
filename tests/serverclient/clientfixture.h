#pragma once

#include "scriptedserver.h"

#include "connection/serverclient.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bulrush::test {

/** Longer than any test takes, so that a time-out of this length fails the test. */
constexpr Duration testTimeout = std::chrono::seconds{20};
inline const std::string echoedFieldName = "Request-Id";

/** \returns an answer to the request \a id. */
inline std::string answerTo(const std::string &id, const std::string &body = "ok")
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A ServerClient on the loop of its servers. Not thread safe. */
struct ClientFixture
{
    asio::io_context loop;
    io::ServerClient client{loop};

    io::ServerCall call(const ScriptedServer &server, const std::string &id, std::string body = {})
    {
        const std::string url = server.url("");
        io::ServerCall serverCall;
        serverCall.server = {"127.0.0.1",
                             static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)))};
        serverCall.method = body.empty() ? "GET" : "POST";
        serverCall.headers = {{"Host", "x"}, {echoedFieldName, id}};
        serverCall.body = std::make_shared<const std::string>(std::move(body));
        serverCall.timeout = testTimeout;
        serverCall.echoedField = echoedFieldName;
        return serverCall;
    }

    io::HttpResult send(io::ServerCall serverCall)
    {
        std::optional<io::HttpResult> result;
        client.send(std::move(serverCall),
                    [&](io::HttpResult httpResult) { result = std::move(httpResult); });
        BOOST_TEST(!result.has_value());
        run([&] { return result.has_value(); });
        return std::move(*result);
    }

    void run(const std::function<bool()> &isFinished)
    {
        loop.restart();
        while (!isFinished() && loop.run_one() > 0) { }
        BOOST_REQUIRE(isFinished());
    }

    /** Handles pending events of the connections. */
    void settle()
    {
        loop.restart();
        loop.run_for(std::chrono::milliseconds{50});
    }
};

} // namespace bulrush::test
