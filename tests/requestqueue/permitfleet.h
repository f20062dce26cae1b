#pragma once

#include "process/permitissuer.h"
#include "process/rendezvousorder.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace bulrush::test {

using namespace std::chrono_literals;

inline const Instant start{100s};
inline const ServerName server{"i-1"};
inline const DomainName domain{"a"};
inline constexpr auto window = 4s;
inline constexpr std::array<std::size_t, 4> fleetSizes{12, 66, 195, 550};
inline constexpr std::array<double, 4> limits{0.3, 1.0, 5.3, 500.0};

/** \returns how many requests the users' platform allows in any window. */
inline std::size_t allowedInWindow(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * std::chrono::duration<double>(window).count()
                                    + 5.0);
}

/** \returns for how long to simulate a server with \a limit. */
inline Duration spanFor(double limit)
{
    return limit < 100.0 ? 60s : 12s;
}

inline std::vector<DaemonLocation> fleetOf(std::size_t count)
{
    const std::array<std::string, 3> domains{"a", "b", "c"};
    std::vector<DaemonLocation> daemons;
    for (std::size_t i = 0; i < count; ++i)
        daemons.push_back({HostName{"front-" + std::to_string(i)}, DomainName{domains[i % 3]}});
    return daemons;
}

inline PermitQuery queryOf(double limit, Duration maxWait = {}, Duration statedAgo = {})
{
    return {server, domain, limit, statedAgo, maxWait};
}

/** A fleet of daemons that query permits for one server. */
struct Fleet
{
    std::vector<DaemonLocation> daemons;
    /** The issuer on each host. */
    std::map<HostName, PermitIssuer> issuers;
    /** The daemons that each daemon knows. */
    std::map<HostName, std::vector<DaemonLocation>> views;
    /** Hosts that do not answer queries. */
    std::function<bool(const HostName &, Instant)> isSilent = [](const auto &, Instant) {
        return false;
    };
    /** Called before each query. */
    std::function<void(Instant)> beforeQuery = [](Instant) {
    };
    std::vector<Instant> sends;

    explicit Fleet(std::size_t count)
        : daemons(fleetOf(count))
    {
        for (const DaemonLocation &daemon : daemons)
            views[daemon.host] = daemons;
    }

    PermitAnswer query(const HostName &from, PermitQuery query, Instant now)
    {
        const RendezvousOrder order{server, domain};
        query.view = digestOf(views[from]);
        std::size_t rank = 0;
        for (const HostName &issuer : order.first(2, views[from])) {
            query.role = PermitIssuer::roleOf(rank++);
            if (isSilent(issuer, now))
                continue;
            const IssuerRole role = PermitIssuer::roleOf(order.rankOf(issuer, views[issuer]));
            return issuers[issuer].answer(query, role, now, digestOf(views[issuer]));
        }
        return {};
    }

    /**
     * Callers send \a rate requests per second through daemons drawn at random for \a span, each of
     * which can wait for \a maxWait.
     */
    void run(double rate, double limit, Duration span, Duration maxWait)
    {
        std::mt19937 random{7};
        std::exponential_distribution<double> pause{rate};
        Instant now = start;
        while (now < start + span) {
            now +=
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>{pause(random)});
            beforeQuery(now);
            const HostName &from = daemons[random() % daemons.size()].host;
            const PermitAnswer answer = query(from, queryOf(limit, maxWait), now);
            if (answer.outcome == PermitOutcome::Granted)
                sends.push_back(now + answer.wait);
        }
        std::ranges::sort(sends);
    }

    std::size_t mostInWindow() const
    {
        std::ptrdiff_t most = 0;
        for (auto first = sends.begin(); first != sends.end(); ++first)
            most = std::max(most, std::lower_bound(first, sends.end(), *first + window) - first);
        return static_cast<std::size_t>(most);
    }
};

} // namespace bulrush::test
