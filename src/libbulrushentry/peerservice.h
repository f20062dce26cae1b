#pragma once

#include "connection/callerserver.h"
#include "keycontrol.h"
#include "permitcontrol.h"
#include "rowsadmission.h"
#include "rowsfeed.h"
#include "statepublisher.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <system_error>

namespace bulrush {

/**
 * Answers the messages of other daemons: load reports, a planner's questions, queries for permits,
 * and requests for rows of the store by daemons that can't reach it or that follow them through
 * this one.
 *
 * Used on the control thread.
 */
class PeerService
{
public:
    /** \pre all but \a link outlive this object */
    PeerService(KeyControl &keys, PermitControl &permits, StatePublisher &state,
                io::LoopTimers &timers, FollowerGroup &group, const LinkBudget &link);

    /** Listens on \a address. \returns TransportError::ListenFailed if it can't be used. */
    std::error_code listen(asio::io_context &loop, const Endpoint &address);

    /** \returns lines for a metrics page: the rows served to other daemons. */
    std::string servedText() const;

    /** Logs the rows served to other daemons since the last log line. */
    void logServed();

private:
    void handle(const std::shared_ptr<io::IncomingRequest> &request,
                const std::shared_ptr<io::ResponseWriter> &writer);
    io::HttpResponse answer(const std::string &target, const std::string &body);
    io::HttpResponse answerRows(const std::string &target);
    void handleFeedRequest(const std::string &target,
                           const std::shared_ptr<io::ResponseWriter> &writer);
    const TableFollower *follower(std::string_view table) const;
    io::HttpResponse handleLoads(const std::string &body, bool knowsDetails);
    io::HttpResponse answerQuestion(const std::string &body);
    io::HttpResponse answerAssignmentsQuery(const std::string &body);
    io::HttpResponse answerPermitQuery(const std::string &body);

    KeyControl &m_keys;
    PermitControl &m_permits;
    StatePublisher &m_state;
    RowsAdmission m_admission;
    RowsFeed m_feed;
    std::unique_ptr<io::CallerServer> m_server;
};

inline std::string PeerService::servedText() const
{
    return m_admission.text();
}

inline void PeerService::logServed()
{
    m_admission.log();
}

} // namespace bulrush
