#include "forwardcontext.h"

#include "forwardexchange.h"
#include "process/hostclock.h"

#include <asio/post.hpp>

#include <utility>

namespace bulrush {

namespace {

/** Requests that wait are looked at again after this time, if nothing else happens before. */
constexpr Duration lookAgain = std::chrono::milliseconds{15};

} // namespace

ForwardContext::ForwardContext(asio::io_context &ownLoop, const EntrySettings &settings,
                               EntryCounters &ownCounters)
    : loop(ownLoop)
    , servers(ownLoop)
    , timers(ownLoop)
    , counters(ownCounters)
    , picker(gauges, settings.domain, DrainBudget{settings.serverDrain})
    , queue(picker)
    , retries(settings.retries)
{ }

void ForwardContext::setState(std::shared_ptr<const RoutingState> published)
{
    state = std::move(published);
    retries.setDaemonCount(state->daemonCount);
    gauges.setDaemonCount(state->daemonCount);
    dispatchSoon();
}

void ForwardContext::setKnowledge(const ServerKnowledge &knowledge)
{
    picker.setKnowledge(knowledge);
    if (queue.size() > 0)
        dispatchSoon();
}

void ForwardContext::dispatch(Instant now)
{
    if (!state || queue.size() == 0)
        return;
    const std::vector<GivenUp> givenUp =
        queue.dispatch(*state, now, [this](std::uint64_t ticket, const ServerRecord &server) {
            if (const auto exchange = open.find(ticket); exchange != open.end())
                exchange->second->sendTo(server);
        });
    for (const GivenUp &request : givenUp) {
        if (const auto exchange = open.find(request.ticket); exchange != open.end())
            std::shared_ptr
            {
                exchange->second
                } -> refuse(nameOf(request.reason));
    }
    if (queue.size() > 0 && !std::exchange(m_isLookDue, true))
        timers.after(lookAgain, [this](Instant later) {
            m_isLookDue = false;
            dispatch(later);
        });
}

void ForwardContext::dispatchSoon()
{
    if (std::exchange(m_isDispatchDue, true))
        return;
    asio::post(loop, [this] {
        m_isDispatchDue = false;
        dispatch(io::hostNow());
    });
}

} // namespace bulrush
