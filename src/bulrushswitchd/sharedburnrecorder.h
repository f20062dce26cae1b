#pragma once

#include "process/burnrate.h"
#include "version/contract.h"

#include <mutex>

namespace bulrush {

/**
 * The service-level counts of a daemon, recorded by all traffic threads. Thread safe.
 */
class SharedBurnRecorder
{
public:
    explicit SharedBurnRecorder(Instant startedAt);

    /** Sets the service-level targets of the operations of \a contract. */
    void setTargets(const Contract &contract);

    /** Counts a completed request. */
    void record(Instant now, const OrganisationName &organisation, const OperationName &operation,
                ServiceOutcome outcome, Duration latency);

    /** \returns the counts of the time windows that end at \a now. */
    BurnSnapshot snapshot(Instant now, const HostName &host, const Incarnation &incarnation);

private:
    std::mutex m_mutex;
    BurnRecorder m_recorder;
};

} // namespace bulrush
