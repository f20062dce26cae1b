#pragma once

#include "process/daemonsettings.h"
#include "process/stewardseat.h"

#include <json/value.h>

#include <functional>
#include <optional>

namespace bulrush {

struct ControlContext;

/** Events of a leadership that the daemon handles. */
struct LeadershipCallbacks
{
    std::function<void(const StewardshipBegan &)> onBegan;
    std::function<void(const StewardshipEnded &)> onEnded;
    /** Called when the domain's row has a new holder. */
    std::function<void(const AnnounceSteward &)> onLeaderChanged;
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
    void handleEvent(const StewardEvent &event);

    const StewardSeat &leadership() const;
    const DomainName &domain() const;

    /** \returns whether the leadership is extended by promises only at \a now. */
    bool holdsByPromisesOnly(Instant now) const;

private:
    void perform(const StewardAction &action);
    void performAction(const ReadStewardRow &action);
    void performAction(const WriteStewardRow &action);
    void performAction(const AskPromise &action);
    void performAction(const AnswerPromise &action);
    void performAction(const ReleasePromise &action);
    void performAction(const AnnounceSteward &action);
    void performAction(const StewardshipBegan &action);
    void performAction(const StewardshipEnded &action);

    ControlContext &m_context;
    DomainName m_domain;
    LeadershipCallbacks m_callbacks;
    StewardSeat m_leadership;
    std::optional<AnswerPromise> m_lastAnswer;
    /** When the platform last answered a write of this leadership. */
    std::optional<Instant> m_platformAnsweredAt;
};

inline const StewardSeat &LeadershipService::leadership() const
{
    return m_leadership;
}

inline const DomainName &LeadershipService::domain() const
{
    return m_domain;
}

/** \returns the leadership's timings for the settings. */
StewardTimings leadershipTimings(const LeaseTimings &leases);

} // namespace bulrush
