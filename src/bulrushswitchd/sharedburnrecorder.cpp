#include "sharedburnrecorder.h"

namespace bulrush {

namespace {

constexpr double partsPerMillion = 1'000'000.0;

} // namespace

SharedBurnRecorder::SharedBurnRecorder(Instant startedAt)
    : m_recorder(startedAt)
{ }

void SharedBurnRecorder::setTargets(const Contract &contract)
{
    const std::scoped_lock lock{m_mutex};
    for (const Operation &operation : contract.operations) {
        const ServiceTarget target{operation.target.objectivePpm / partsPerMillion,
                                   operation.target.within};
        m_recorder.setTarget(contract.organisation, operation.name, target);
    }
}

void SharedBurnRecorder::record(Instant now, const OrganisationName &organisation,
                                const OperationName &operation, ServiceOutcome outcome,
                                Duration latency)
{
    const std::scoped_lock lock{m_mutex};
    m_recorder.record(now, organisation, operation, outcome, latency);
}

BurnSnapshot SharedBurnRecorder::snapshot(Instant now, const HostName &host,
                                          const Incarnation &incarnation)
{
    const std::scoped_lock lock{m_mutex};
    return m_recorder.snapshot(now, host, incarnation);
}

} // namespace bulrush
