#pragma once

#include "connection/callerserver.h"
#include "keycontrol.h"
#include "rowsadmission.h"
#include "rowsfeed.h"
#include "statepublisher.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <system_error>

namespace bulrush {

/**
 * Takes the messages of other daemons: loads that they saw, a planner's questions, and questions
 * for rows of the store by those that don't reach it or follow them through this one.
 *
 * Used on the control thread.
 */
class PeerDesk
{
public:
    /** \pre all but \a link outlive this object */
    PeerDesk(KeyControl &keys, StatePublisher &state, io::LoopTimers &timers, FollowerGroup &group,
             const LinkBudget &link);

    /** Listens at \a address. \returns TransportError::ListenFailed if it can't be used. */
    std::error_code listen(asio::io_context &loop, const Endpoint &address);

    /** \returns lines for a metrics page: what other daemons were told. */
    std::string servedText() const;

    /** Writes a log line of what other daemons were told since the last one. */
    void logServed();

private:
    void take(const std::shared_ptr<io::IncomingRequest> &request,
              const std::shared_ptr<io::ResponseWriter> &writer);
    io::HttpResponse answer(const std::string &target, const std::string &body);
    io::HttpResponse tellRows(const std::string &target);
    void takeFeedQuestion(const std::string &target,
                          const std::shared_ptr<io::ResponseWriter> &writer);
    const TableFollower *follower(std::string_view table) const;
    io::HttpResponse takeLoads(const std::string &body);
    io::HttpResponse takeQuestion(const std::string &body);

    KeyControl &m_keys;
    StatePublisher &m_state;
    RowsAdmission m_admission;
    RowsFeed m_feed;
    std::unique_ptr<io::CallerServer> m_server;
};

inline std::string PeerDesk::servedText() const
{
    return m_admission.text();
}

inline void PeerDesk::logServed()
{
    m_admission.log();
}

} // namespace bulrush
