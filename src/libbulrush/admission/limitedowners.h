#pragma once

#include "process/clock.h"
#include "version/identifier.h"

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace bulrush {

/** An owner of keys whose requests begin or end being limited. */
struct OwnerLimitChange
{
    ServiceName service;
    ServerName owner;
    bool isLimited = false;
    /** For how long they were limited, if that has ended. */
    Duration lasted{};

    bool operator==(const OwnerLimitChange &) const = default;
};

/**
 * Finds the owners of keys whose requests begin or end being limited, for the log. The number of
 * changes is bounded: an owner that is limited again within holdTime counts as limited throughout,
 * and each update returns at most maxChanges.
 *
 * Not thread safe.
 */
class LimitedOwners
{
public:
    /** Longer than the half-life of the rates, by whose variation an owner is limited on and off.
     */
    static constexpr Duration holdTime = std::chrono::seconds{8};
    /** All owners of a service can be limited at once; 231 lines would hide everything else. */
    static constexpr std::size_t maxChanges = 8;

    /** The changes of one update. */
    struct Update
    {
        std::vector<OwnerLimitChange> changes;
        /** Number of further changes that are not listed. */
        std::size_t omittedCount = 0;

        void add(OwnerLimitChange change);
    };

    /** \a limited are the owners of \a service whose requests are limited from \a now on. */
    Update update(const ServiceName &service, std::span<const ServerName> limited, Instant now);

    /** Forgets all owners, without changes to report. */
    void clear();

private:
    struct Period
    {
        Instant since;
        Instant lastLimited;
    };

    std::map<ServiceName, std::map<ServerName, Period>> m_periods;
};

} // namespace bulrush
