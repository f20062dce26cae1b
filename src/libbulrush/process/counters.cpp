#include "process/counters.h"

namespace bulrush {

namespace {

constexpr std::array<std::string_view, Counters::size> names{
    "requests_accepted",
    "requests_relayed",
    "requests_whole",
    "requests_not_run",
    "requests_unknown",
    "requests_rejected",
    "attempts_sent",
    "attempts_retried",
    "callers_gone",
    "claims_made",
    "claims_repeated",
    "rate_limited",
    "requests_shed",
    "lease_requests_sent",
    "lease_requests_answered",
    "lease_requests_refused",
    "promises_asked",
    "promises_given",
    "stewardships_begun",
    "stewardships_ended",
    "assignments_published",
    "platform_reads",
    "platform_writes",
    "platform_errors",
    "platform_unknowns",
    "peer_calls",
    "peer_call_errors",
    "contracts_adopted",
};

static_assert(!names.back().empty(), "every counter needs a name");

} // namespace

std::string_view counterName(Counter counter)
{
    return names.at(static_cast<std::size_t>(counter));
}

} // namespace bulrush
