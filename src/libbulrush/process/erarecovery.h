#pragma once

#include "process/clock.h"
#include "process/keytimings.h"
#include "process/renewerregistry.h"
#include "process/storeversion.h"
#include "version/keyassignment.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bulrush {

/** What a daemon remembers of the assignments, for a planner of a restored store. */
struct RememberedAssignments
{
    HostName host;
    Incarnation incarnation;
    /** Time since the daemon's start. */
    Duration uptime{};
    /** The last planner that the daemon knows whose assignments were all in the store. */
    Incarnation planner;
    /** The version of that planner's row. */
    StoreVersion plannerVersion;
    /** Assignments that are later than those that the planner named. */
    std::vector<KeyAssignment> assignments;
};

/**
 * Decides when a planner may write the assignments again after the store was restored from an older
 * copy, which lacks the last ones.
 *
 * Servers may hold keys by an assignment that the copy lacks. Whoever granted them knew it, so the
 * planner asks all daemons. The last planner of the previous era knows every assignment that it
 * committed: if it answers, the latest known assignment is the last one. If it does not, grants by
 * an unknown assignment are possible until the holds of all earlier grants have ended.
 *
 * Not thread safe. Instants never decrease.
 */
class EraRecovery
{
public:
    /** Delay until an unanswered query is repeated. */
    static constexpr Duration queryRetryDelay = std::chrono::milliseconds{300};
    /** Answers of silent daemons are waited for until this long after the planning began. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds{1000};

    /** How the assignments can be written again. */
    enum class Step {
        Wait,        ///< later assignments may still be unknown
        Continue,    ///< the latest known assignments were in force last
        RaiseFences, ///< an unknown assignment may have been in force, but all its holds have ended
    };

    explicit EraRecovery(const KeyTimings &timings);

    /**
     * Starts over, as this daemon plans since \a now. The store's current era began at \a eraSince
     * or earlier.
     */
    void begin(Instant eraSince, Instant now);

    /** \returns the daemons to query; each counts as queried. */
    std::vector<Renewer> dueQueries(const RenewerRegistry &renewers, Instant now);

    /** Records the answer of a daemon, which arrived at \a now. */
    void recordAnswer(const RememberedAssignments &answer, Instant now);

    /** \returns whether no further answers are waited for. */
    bool areAnswersIn(const RenewerRegistry &renewers, Instant now) const;

    /** \returns the next step. */
    Step step(const RenewerRegistry &renewers, Instant now) const;

private:
    struct Answer
    {
        Incarnation incarnation;
        Instant startedAt;
        Incarnation planner;
        StoreVersion plannerVersion;
    };

    bool hasLastPlannerAnswered() const;
    Instant lastUnknownGrant(const RenewerRegistry &renewers) const;

    KeyTimings m_timings;
    /** The store's current era began then or earlier. */
    Instant m_eraSince;
    /** When this daemon began to plan. */
    Instant m_since;
    std::map<HostName, Answer> m_answers;
    std::map<HostName, Instant> m_queriedAt;
};

/**
 * Distance between the sequences of the assignments of two eras: greater than the number of
 * assignments that a restore can lose, so that no fencing token is used twice.
 */
constexpr std::uint64_t sequencesPerEra = 1'000'000;

/**
 * \returns the lowest sequence in \a era that is above all sequences that were in use in earlier
 * eras, given the latest known assignment. Thread safe.
 */
std::uint64_t firstSequenceOf(std::uint64_t era, const KeyAssignment &latest);

} // namespace bulrush
