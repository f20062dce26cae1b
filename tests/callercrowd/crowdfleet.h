#pragma once

#include "callercrowd/oddserver.h"
#include "callercrowd/processusage.h"
#include "entryfleet/checkedfleet.h"
#include "standinprocess/rawconnection.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bulrush::test {

/** Memory of the smallest host, which a daemon assumes if its settings name none. */
constexpr std::uint64_t hostMemory = 120'000'000;
/** Descriptors that the smallest host leaves to sockets. */
constexpr std::size_t hostSockets = 2'875;

/** \returns the field of an answer to the request with the head \a head that names it. */
inline std::string echoedId(const std::string &head)
{
    const std::string field = "X-Bulrushswitch-Request-Id: ";
    const std::size_t at = head.find(field) + field.size();
    return field + head.substr(at, head.find('\r', at) - at) + "\r\n";
}

/** \returns the last field of a head, for a body of \a length. */
inline std::string lengthField(std::size_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

/** Two daemons, of which a1 meets the crowd, and servers of both services. */
struct CrowdFleet : CheckedFleet
{
    CrowdFleet()
        : CheckedFleet({"a1", "b1"})
    {
        addRoute("/archive/", "upload", "payments", std::chrono::seconds{20});
        addRoute("/odd/", "safe", "odd");
        writeConfig();
        startServers();
        startDaemons();
        waitUntilServing();
        peak = std::make_unique<MemoryPeak>(daemon("a1").pid());
    }

    /** \returns the head of a request to a1, up to the fields of its body. */
    static std::string head(const std::string &method, const std::string &path,
                            const std::string &id)
    {
        return method + ' ' + path
            + " HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushswitch-Request-Id: " + id
            + "\r\nX-Bulrushswitch-Deadline-Ms: 15000\r\n";
    }

    /** Connects \a count callers, and has each of them do \a act, some at a time. */
    void gather(int count, const std::function<void(RawConnection &caller, int number)> &act)
    {
        constexpr int threadCount = 8;
        std::vector<std::unique_ptr<RawConnection>> callers;
        for (int i = 0; i < count; ++i)
            callers.push_back(std::make_unique<RawConnection>(callersAddress("a1")));
        std::vector<std::thread> threads;
        for (int t = 0; t < threadCount; ++t) {
            threads.emplace_back([&, t] {
                for (int i = t; i < count; i += threadCount)
                    act(*callers[static_cast<std::size_t>(i)], i);
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        for (auto &caller : callers)
            crowd.push_back(std::move(caller));
    }

    /**
     * Connects \a count callers that post \a body to \a path, but for \a missing bytes of it. The
     * ids of their requests begin with \a prefix.
     */
    void gatherBodies(int count, const std::string &path, const std::string &prefix,
                      std::string_view body, std::size_t missing)
    {
        gather(count, [&](RawConnection &caller, int number) {
            caller.send(head("POST", path, prefix + '-' + std::to_string(number))
                        + lengthField(body.size()));
            caller.send(body.substr(missing));
        });
    }

    /** Checks the daemon while the crowd is there, and sends it away. */
    void checkAndDisperse()
    {
        BOOST_TEST(daemon("a1").isRunning());
        BOOST_TEST(eventually([&] { return send("a1", "POST", "/pay/x").status == 200; }));
        BOOST_TEST(daemon("a1").isRunning());
        BOOST_TEST(peak->bytes() < hostMemory);
        BOOST_TEST(openDescriptors(daemon("a1").pid()) < hostSockets);
        crowd.clear();
    }

    std::vector<std::unique_ptr<RawConnection>> crowd;
    std::unique_ptr<MemoryPeak> peak;
};

} // namespace bulrush::test
