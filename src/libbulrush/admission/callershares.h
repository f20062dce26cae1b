#pragma once

#include "admission/countminsketch.h"
#include "process/clock.h"
#include "version/forwarddecay.h"
#include "version/identifier.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace bulrush {

/** Whether a service begins or ceases to be short of capacity. */
enum class ShortageChange {
    None,
    Begins,
    Ends,
};

/** Decision on one request of a caller. */
struct CallerAdmission
{
    bool isAdmitted = true;
    /** If it is refused: time after which the caller does not exceed its share any more. */
    Duration availableIn{};
    ShortageChange change = ShortageChange::None;
};

/**
 * Refuses callers whose recent requests exceed their fair share of a service, while the service is
 * short of capacity at this daemon. It responds to callers that retry at once and often, and would
 * otherwise take the capacity from those that wait as they are advised.
 *
 * The bound is the max-min fair share: the level at which the requests of all callers, each cut at
 * the level, add up to what can be served. Thus a caller is refused only as far as others would be
 * refused in its place, callers below the level are not affected, and a caller that sends more gets
 * no more. A fixed rate would need a setting per deployment, and a multiple of the mean would
 * refuse callers while there is capacity. As the level of many equal callers is below what each of
 * them sends, a caller is also not refused unless it sends at least four times as much as the
 * median: otherwise chance would decide which of them are refused.
 *
 * Memory is fixed: a sketch of all callers, and for each service a list of the most frequent ones.
 * The sketch decides which callers enter the list. Only callers of the list are refused, and only
 * if a former request was counted for them there, so that the first request of a caller never is,
 * whatever shares its cells.
 *
 * Nothing is refused where all callers share one address, as that is the median.
 *
 * Not thread safe.
 */
class CallerShares
{
public:
    /** Half-life of all counts. Refused callers return within 0.25 s to 3 s. */
    static constexpr Duration halfLife = std::chrono::seconds{2};
    /** A request this long after the caller's previous one is its first; two half-lives. */
    static constexpr Duration firstRequestPeriod = 2 * halfLife;
    /** A shortage begins when this part of the requests is refused, ... */
    static constexpr double beginFraction = 0.1;
    /** ... but not by single refusals where there are few requests. */
    static constexpr double minRefusals = 3.0;
    /** A shortage ends when this part of the requests is refused. */
    static constexpr double endFraction = 0.05;
    /** Minimum duration of a shortage, which bounds the log lines. */
    static constexpr Duration minShortage = halfLife;
    /**
     * A caller is refused only if it sends at least this multiple of the median of the list. One
     * whose requests are all refused, and that retries each of them twice as it is advised, sends
     * three times as much as one that is served.
     */
    static constexpr double minMedianFactor = 4.0;
    /** Callers of each service in the list; up to half of them can be above their share. */
    static constexpr std::size_t maxCallers = 128;
    /** Services that are considered. */
    static constexpr std::size_t maxServices = 64;

    explicit CallerShares(Instant start);

    /**
     * Counts a request of \a caller for \a service and decides whether to admit it. \a hash must be
     * evenly distributed over requests.
     */
    CallerAdmission admit(const ServiceName &service, std::string_view caller, std::uint64_t hash,
                          Instant now);

    /** Records that an admitted request for \a service was refused for lack of capacity. */
    ShortageChange recordRefusal(const ServiceName &service, Instant now);

    /** \returns whether \a service was short of capacity at its last request or refusal. */
    bool isShort(const ServiceName &service) const;

    /** \returns the number of callers that are listed, for all services. */
    std::size_t listedCount() const;

private:
    struct Caller
    {
        std::uint64_t id = 0;
        double count = 0.0;
        Instant lastAt;
    };

    /** Counts are weighted by m_decay. */
    struct Service
    {
        double requests = 0.0;
        /** Refusals for lack of capacity. */
        double refusals = 0.0;
        Instant refusedAt;
        /** Refusals by this class. */
        double overShare = 0.0;
        bool isShort = false;
        Instant shortSince;
        /** Decayed count up to which a caller is within its share, as of levelAt. */
        double level = 0.0;
        Instant levelAt;
        Instant usedAt;
        std::vector<Caller> callers;
    };

    Service *serviceOf(const ServiceName &name, Instant now);
    Caller *countRequest(Service &service, std::uint64_t id, Instant now, bool &isFirst);
    ShortageChange updateShortage(Service &service, Instant now);
    double excess(const Service &service, Instant now);
    double level(Service &service, Instant now);
    void rescaleIfDue();

    ForwardDecay m_decay;
    CountMinSketch m_sketch;
    std::map<ServiceName, Service> m_services;
};

} // namespace bulrush
