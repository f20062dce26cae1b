#pragma once

#include "backend/granttable.h"
#include "backend/loadreport.h"
#include "backend/misbehaviour.h"
#include "backend/observedlog.h"
#include "backend/work.h"
#include "http/listener.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace bulrush::standins {

/** Start parameters of a backend server. */
struct BackendSettings
{
    std::string name = "backend";
    ListenerSettings listener;
    std::size_t slots = 3;
    std::size_t queueLimit = 32;
    std::chrono::milliseconds serviceTime{0};
    std::chrono::milliseconds coldTime{0};
    /** Factor by which work takes longer while the server is cold. */
    unsigned coldFactor = 4;
    bool refusesWhileCold = false;
    std::chrono::milliseconds clockOffset{0};
    std::chrono::milliseconds reportLag{0};
    double loadReportFactor = 1;
    bool checksFence = false;
    std::size_t observedLimit = 100'000;
};

/**
 * Simulates the backend server that docs/interfaces/backend.md describes. Work consists of waiting
 * for the service time and answering with the length and the hash of the body.
 *
 * Not thread safe: to be used on the event loop's thread only.
 */
class BackendServer
{
public:
    /** Opens the listener. Throws if this fails. */
    BackendServer(asio::io_context &loop, BackendSettings settings);

    /** \returns the address as `IP:PORT`. */
    const std::string &address() const;

private:
    struct Counters
    {
        std::uint64_t done = 0;
        std::uint64_t cancelled = 0;
        std::map<Refusal, std::uint64_t> refused;
    };
    using WorkList = std::list<Work>;

    void serve(const RequestHandle &request);
    Answer control(std::string_view call, std::string_view body);
    Answer grant(std::string_view body);
    Answer revoke(std::string_view body);
    Answer grants() const;
    Answer load();
    Answer drain();
    Answer behave(std::string_view body);
    Answer release();
    Answer observed() const;

    void accept(Work work);
    std::optional<Refusal> refusalAtArrival(const Work &work) const;
    std::optional<Refusal> refusalAtStart(const Work &work) const;
    void refuse(const Work &work, Refusal refusal);
    void startQueued();
    void start(WorkList::iterator work);
    void finish(WorkList::iterator work);
    void answer(const RequestHandle &request, const Answer &complete);
    void sendLater(const RequestHandle &request, Answer answer, std::chrono::milliseconds delay);
    void cancelQueued(ConnectionLimiter::ConnectionId connection);
    std::uint64_t countCovered(const WorkList &list, const GrantOrder &order) const;

    std::chrono::milliseconds serviceTimeOf(const Work &work) const;
    std::int64_t clockMs() const;
    bool isCold() const;
    void recordLoad();

    asio::io_context &m_loop;
    BackendSettings m_settings;
    std::chrono::steady_clock::time_point m_startedAt;
    GrantTable m_grants;
    LoadReport m_loadReport;
    ObservedLog m_observed;
    Misbehaviour m_misbehaviour;
    Counters m_counters;
    bool m_isDraining = false;
    WorkList m_queued;
    WorkList m_running;
    /** The previous answer, sent as MismatchedAnswer to the next request. */
    Answer m_previousAnswer;
    Listener m_listener;
};

inline const std::string &BackendServer::address() const
{
    return m_listener.address();
}

} // namespace bulrush::standins
