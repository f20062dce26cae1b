#pragma once

#include "platformtable.h"
#include "process/clock.h"
#include "process/endpoint.h"

#include <string>
#include <vector>

namespace bulrush::ctl {

struct BlockingAnswer;

/**
 * Accesses the platform over HTTP, as described in docs/interfaces/platform.md. The endpoints are
 * tried in order; a write is sent to the next endpoint only if no part of it was sent to the
 * previous one.
 */
class PlatformAccess final : public PlatformTable
{
public:
    /** \a timeout applies to each call to one endpoint. */
    PlatformAccess(std::vector<Endpoint> endpoints, Duration timeout);

    RowsResult read(const std::vector<RowId> &ids) override;
    RowsResult scan(const std::string &table, const std::string &prefix) override;
    CommitResult transact(const Transaction &transaction) override;
    HostsResult hosts() override;

private:
    /**
     * Sends a read-only request to the endpoints in order. \returns the first answer with status
     * 200, or else the last answer.
     */
    BlockingAnswer callAnyEndpoint(const std::string &method, const std::string &path,
                                   const std::string &body);
    BlockingAnswer callEndpoint(const Endpoint &endpoint, const std::string &method,
                                const std::string &path, const std::string &body);

    std::vector<Endpoint> m_endpoints;
    Duration m_timeout;
};

} // namespace bulrush::ctl
