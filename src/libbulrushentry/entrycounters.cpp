#include "entrycounters.h"

#include <algorithm>
#include <string_view>

namespace bulrush {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(EntryCounter::Count)> names = {
    "requests_taken",
    "answers_returned",
    "refused_not_run",
    "refused_never_sent",
    "refused_denied",
    "refused_crashing",
    "refused_over_share",
    "refusals_without_proof",
    "ended_unknown",
    "rejected",
    "callers_gone",
    "refused_share_priority_0",
    "refused_share_priority_1",
    "refused_share_priority_2",
    "refused_share_priority_3_up",
    "attempts_sent",
    "attempts_repeated",
    "attempts_not_run",
    "attempts_failed",
    "attempts_at_full",
    "attempts_to_limited",
    "attempts_during_backoff",
    "attempts_withdrawn",
    "server_backoffs",
    "servers_leaving",
    "permits_queried",
    "permits_refused",
    "connections_opened",
    "relays_sent",
    "relays_answered",
    "relays_taken",
    "relays_not_run",
    "servers_out_of_reach",
    "domains_out_of_reach",
    "host_overloads",
    "refused_overloaded",
    "slow_starts_begun",
    "slow_starts_ended",
    "slow_start_steps_back",
    "requests_without_room",
    "connections_given_way",
    "transfers_evicted",
    "answers_without_room",
};

constexpr std::array<double, 4> quantiles = {0.5, 0.9, 0.99, 0.999};

std::string secondsText(Duration span)
{
    return std::to_string(std::chrono::duration<double>(span).count());
}

std::string quantilesText(const std::string &name, const LatencyHistogram &histogram)
{
    std::string text;
    for (const double share : quantiles) {
        if (const std::optional<Duration> span = histogram.quantile(share))
            text +=
                name + "{quantile=\"" + std::to_string(share) + "\"} " + secondsText(*span) + '\n';
    }
    return text + name + "_count " + std::to_string(histogram.total()) + '\n';
}

} // namespace

EntryCounter refusedByShare(std::uint32_t priority)
{
    constexpr std::array counters = {
        EntryCounter::RefusedSharePriority0, EntryCounter::RefusedSharePriority1,
        EntryCounter::RefusedSharePriority2, EntryCounter::RefusedSharePriority3Up};
    return counters.at(std::min<std::size_t>(priority, counters.size() - 1));
}

void EntryCounters::add(EntryCounter counter, std::uint64_t amount)
{
    m_values.at(static_cast<std::size_t>(counter)).fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t EntryCounters::value(EntryCounter counter) const
{
    return m_values.at(static_cast<std::size_t>(counter)).load(std::memory_order_relaxed);
}

void EntryCounters::recordLatency(Duration latency)
{
    const std::scoped_lock lock{m_mutex};
    m_latency.record(latency);
}

void EntryCounters::recordRoutingDataAge(Duration age)
{
    const std::scoped_lock lock{m_mutex};
    m_routingDataAge.record(age);
    m_maxRoutingDataAge = std::max(m_maxRoutingDataAge, age);
}

void EntryCounters::recordConfigDelay(Duration delay)
{
    const std::scoped_lock lock{m_mutex};
    m_configDelay.record(delay);
    m_maxConfigDelay = std::max(m_maxConfigDelay, delay);
}

std::string EntryCounters::text() const
{
    std::string text;
    for (std::size_t i = 0; i < size; ++i) {
        text += "bulrush_";
        text += names.at(i);
        text += "_total " + std::to_string(m_values.at(i).load(std::memory_order_relaxed)) + '\n';
    }
    const std::scoped_lock lock{m_mutex};
    text += quantilesText("bulrush_latency_seconds", m_latency);
    text += quantilesText("bulrush_knowledge_age_seconds", m_routingDataAge);
    text += "bulrush_knowledge_age_seconds_max " + secondsText(m_maxRoutingDataAge) + '\n';
    text += quantilesText("bulrush_config_delay_seconds", m_configDelay);
    text += "bulrush_config_delay_seconds_max " + secondsText(m_maxConfigDelay) + '\n';
    return text;
}

} // namespace bulrush
