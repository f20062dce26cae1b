#pragma once

#include "connection/incomingrequest.h"
#include "connection/responsewriter.h"
#include "crashcontrol.h"
#include "entrycounters.h"
#include "forwardworker.h"
#include "keycontrol.h"
#include "peerservice.h"
#include "permitcontrol.h"
#include "process/entrysettings.h"
#include "statepublisher.h"
#include "storecalls.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bulrush {

/**
 * The pages of an entry daemon for operators and the load balancer: readiness, metrics, status,
 * evacuations, quarantine and limits of servers.
 *
 * Used on the control thread.
 */
class EntryPages
{
public:
    /** The parts of the daemon that the pages show. */
    struct Sources
    {
        /** The control thread's. */
        asio::io_context &loop;
        const EntrySettings &settings;
        const EntryCounters &counters;
        const StoreCalls &storeCalls;
        const PeerService &peerService;
        ForwardWorker &worker;
        const StatePublisher &state;
        const KeyControl &keys;
        CrashControl &crashes;
        const PermitControl &permits;
    };

    /** \a isReady tells whether callers may be sent here. \pre the sources outlive this object */
    EntryPages(const Sources &sources, std::function<bool()> isReady);

    EntryPages(const EntryPages &) = delete;
    EntryPages &operator=(const EntryPages &) = delete;

    /** Answers \a request, now or once the traffic thread has told what is needed. */
    void answer(const io::IncomingRequest &request,
                const std::shared_ptr<io::ResponseWriter> &writer);

private:
    void answerEvacuations(const std::shared_ptr<io::ResponseWriter> &writer);
    void answerLimits(const std::shared_ptr<io::ResponseWriter> &writer);
    ForwardWorker::TextHandler textHandler(const std::shared_ptr<io::ResponseWriter> &writer) const;
    void endBackoff(const io::IncomingRequest &request,
                    const std::shared_ptr<io::ResponseWriter> &writer);
    std::string limitsText(const std::map<ServerName, KnownLimit> &limits) const;
    io::HttpResponse lift(const io::IncomingRequest &request);
    std::string metricsText() const;
    std::string statusText() const;
    std::string versionsText() const;

    Sources m_sources;
    std::function<bool()> m_isReady;
};

} // namespace bulrush
