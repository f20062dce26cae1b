#include "process/readerchoice.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace bulrush {

namespace {

/** \returns \a first, doubled for each failure after the first, limited to \a longest. */
Duration backoff(Duration first, Duration longest, int failures)
{
    constexpr int maxDoublings = 4;
    return std::min(first * (1 << std::min(failures - 1, maxDoublings)), longest);
}

} // namespace

ReaderChoice::ReaderChoice(HostName self, DomainName domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
{ }

void ReaderChoice::setDaemons(std::span<const Renewer> daemons)
{
    m_daemons.clear();
    for (const Renewer &daemon : daemons) {
        if (!daemon.removedSince && daemon.row.domain == m_domain)
            m_daemons.push_back(
                {daemon.host, daemon.row.address, daemon.row.processors, daemon.version});
    }
    std::ranges::sort(m_daemons, {}, [](const RowsReader &daemon) {
        return std::tuple{-daemon.processors, daemon.version};
    });
}

void ReaderChoice::recordFailure(const HostName &host, ReaderFailure failure, Instant now)
{
    Failures &failures = m_failures[host];
    // Requests for several tables that fail together count as one failure.
    const bool isSkipped = now < failures.skippedUntil;
    if (isSkipped && (failure == failures.last || failures.last == ReaderFailure::Silent))
        return;
    failures.skippedUntil = std::max(failures.skippedUntil, now + backoffAfter(failure, failures));
    failures.last = failure;
}

Duration ReaderChoice::backoffAfter(ReaderFailure failure, Failures &failures)
{
    switch (failure) {
    case ReaderFailure::Refused:
        return backoff(refusedBackoff, maxRefusedBackoff, ++failures.refusals);
    case ReaderFailure::Silent:
        return backoff(silentBackoff, maxSilentBackoff, ++failures.silences);
    case ReaderFailure::Busy:
        break;
    }
    return busyBackoff;
}

void ReaderChoice::recordSuccess(const HostName &host)
{
    m_failures.erase(host);
}

std::optional<RowsReader> ReaderChoice::reader(ReaderPlace place, Instant now) const
{
    const std::span<const RowsReader> all = candidates(place);
    const auto found = std::ranges::find_if(
        all, [&](const RowsReader &candidate) { return isEligible(candidate, now); });
    return found == all.end() ? std::nullopt : std::optional{*found};
}

std::vector<RowsReader> ReaderChoice::alternateReaders(const HostName &other, Instant now) const
{
    std::vector<RowsReader> readers;
    std::ranges::copy_if(retryingDaemons(), std::back_inserter(readers),
                         [&](const RowsReader &candidate) {
                             return candidate.host != other && isEligible(candidate, now);
                         });
    return readers;
}

bool ReaderChoice::haveRetryingRefused(Instant now) const
{
    return std::ranges::all_of(retryingDaemons(), [&](const RowsReader &candidate) {
        const auto failures = m_failures.find(candidate.host);
        return candidate.host == m_self
            || (failures != m_failures.end() && now < failures->second.skippedUntil
                && failures->second.last == ReaderFailure::Refused);
    });
}

std::size_t ReaderChoice::rank() const
{
    const auto self = std::ranges::find(m_daemons, m_self, &RowsReader::host);
    return static_cast<std::size_t>(std::distance(m_daemons.begin(), self));
}

bool ReaderChoice::isListed() const
{
    return rank() < m_daemons.size();
}

bool ReaderChoice::hasOthers() const
{
    return m_daemons.size() > (isListed() ? 1U : 0U);
}

/**
 * \returns the daemons that this one may follow. Without a row it may follow any of them, as no
 * daemon then follows it.
 */
std::span<const RowsReader> ReaderChoice::candidates(ReaderPlace place) const
{
    const std::span<const RowsReader> all{m_daemons};
    const std::size_t before = place == ReaderPlace::Last ? all.size() : rank();
    return all.first(std::min(before, maxReaders));
}

std::span<const RowsReader> ReaderChoice::retryingDaemons() const
{
    return std::span<const RowsReader>{m_daemons}.first(
        std::min(m_daemons.size(), storeRetryRanks));
}

bool ReaderChoice::isEligible(const RowsReader &candidate, Instant now) const
{
    if (candidate.host == m_self)
        return false;
    const auto failures = m_failures.find(candidate.host);
    return failures == m_failures.end() || now >= failures->second.skippedUntil;
}

} // namespace bulrush
