#pragma once

#include "process/daemonsettings.h"
#include "process/leaderelection.h"

#include <json/value.h>

#include <functional>
#include <optional>

namespace bulrush {

struct ControlContext;

/** Events of a leadership that the daemon handles. */
struct LeadershipCallbacks
{
    std::function<void(const LeadershipStarted &)> onBegan;
    std::function<void(const LeadershipEnded &)> onEnded;
    /** Called when the domain's row has a new holder. */
    std::function<void(const AnnounceLeader &)> onLeaderChanged;
};

/**
 * Connects the leadership state of one failure domain to the platform's table and to other daemons.
 *
 * Used on the control thread.
 */
class LeadershipService
{
public:
    LeadershipService(ControlContext &context, DomainName domain, LeadershipCallbacks callbacks);

    LeadershipService(const LeadershipService &) = delete;
    LeadershipService &operator=(const LeadershipService &) = delete;

    /** Advances the leadership's time. Call it several times in each renewal interval. */
    void tick(Instant now);

    /** Answers another leader's request for a promise. \returns null if it is malformed. */
    Json::Value answerPromiseRequest(const Json::Value &promiseRequest);

    /** Applies an event from outside this service. */
    void handleEvent(const LeaderElectionEvent &event);

    const LeaderElection &leadership() const;
    const DomainName &domain() const;

    /** \returns whether the leadership is extended by promises only at \a now. */
    bool holdsByPromisesOnly(Instant now) const;

private:
    void perform(const LeaderElectionAction &action);
    void performAction(const ReadLeaderRow &action);
    void performAction(const WriteLeaderRow &action);
    void performAction(const RequestPromise &action);
    void performAction(const AnswerPromiseRequest &action);
    void performAction(const ReleasePromise &action);
    void performAction(const AnnounceLeader &action);
    void performAction(const LeadershipStarted &action);
    void performAction(const LeadershipEnded &action);

    ControlContext &m_context;
    DomainName m_domain;
    LeadershipCallbacks m_callbacks;
    LeaderElection m_leadership;
    std::optional<AnswerPromiseRequest> m_lastAnswer;
    /** When the platform last answered a write of this leadership. */
    std::optional<Instant> m_platformAnsweredAt;
};

inline const LeaderElection &LeadershipService::leadership() const
{
    return m_leadership;
}

inline const DomainName &LeadershipService::domain() const
{
    return m_domain;
}

/** \returns the leadership's timings for the settings. */
LeaderElectionTimings leadershipTimings(const LeaseTimings &leases);

} // namespace bulrush
