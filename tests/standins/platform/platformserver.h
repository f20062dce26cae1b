#pragma once

#include "http/listener.h"
#include "platform/fault.h"
#include "platform/hostlist.h"
#include "platform/table.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::standins {

/**
 * Simulates the platform that docs/interfaces/platform.md describes. Several listeners share one
 * state; each has its own fault settings.
 *
 * Not thread safe: to be used on the event loop's thread only.
 */
class PlatformServer
{
public:
    PlatformServer(asio::io_context &loop, HostList hosts);
    ~PlatformServer();

    /**
     * Opens a listener. Throws if it can't be opened.
     * \returns its address as `IP:PORT`.
     */
    std::string listen(const std::string &name, const ListenerSettings &settings);

private:
    /** Requests that a listener handled; the byte counts include bodies only. */
    struct Counters
    {
        std::uint64_t requests = 0;
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t bytesIn = 0;
        std::uint64_t bytesOut = 0;
    };

    struct ListenerState
    {
        std::string name;
        Faults faults;
        Counters counters;
        std::unique_ptr<Listener> listener;
    };

    struct Reply
    {
        Answer answer;
        /** Whether a transaction was committed; `answersToLose` applies only to such answers. */
        bool hasCommitted = false;
    };

    void serve(ListenerState &state, const RequestHandle &request);
    Reply handleRequest(ListenerState &state, const RequestHandle &request);
    void sendReply(ListenerState &state, const RequestHandle &request, const Answer &answer);
    void sendLater(const RequestHandle &request, Answer answer, std::chrono::milliseconds delay);

    Answer handleFaults(std::string_view body);
    Answer counters() const;
    Answer hosts();
    Answer changeHosts(std::string_view body);
    Reply transact(std::string_view body);
    Answer read(std::string_view body) const;
    Answer scan(std::string_view body) const;
    Answer putObject(const std::string &name, const std::string &body);
    Answer getObject(const std::string &name) const;

    asio::io_context &m_loop;
    HostList m_hosts;
    Table m_table;
    std::map<std::string, std::string> m_objects;
    std::vector<std::unique_ptr<ListenerState>> m_listenerStates;
};

} // namespace bulrush::standins
