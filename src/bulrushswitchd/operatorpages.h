#pragma once

#include "connection/incomingrequest.h"
#include "connection/responsewriter.h"

#include <memory>

namespace bulrush {

class ControlPlane;
class Counters;

/**
 * Serves the operators' port: /metrics, /healthz, /readyz, /status, /burn and /assignment.
 *
 * Used on the control thread.
 */
class OperatorPages
{
public:
    /** \pre \a control and \a counters outlive this object. */
    OperatorPages(const ControlPlane &control, const Counters &counters);

    /** Answers a request of an operator or a monitoring system. */
    void answer(const io::IncomingRequest &request, io::ResponseWriter &writer) const;

private:
    io::HttpResponse page(const std::string &target) const;
    std::string metrics() const;

    const ControlPlane &m_control;
    const Counters &m_counters;
};

} // namespace bulrush
