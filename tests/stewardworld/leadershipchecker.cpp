#include "tenurechecker.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace bulrush::test {

namespace {

std::string inMilliseconds(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count())
        + " ms";
}

} // namespace

void TenureChecker::check(const std::string &process, const StewardSeat &seat,
                          const std::vector<StewardAction> &did, const DriftingClock &clock,
                          TrueTime now, const StewardTimings &timings)
{
    Office &office = m_offices[process];
    for (const StewardAction &action : did) {
        if (std::holds_alternative<StewardshipEnded>(action))
            office.until = std::min(office.until, now);
        if (const auto *began = std::get_if<StewardshipBegan>(&action))
            checkOthers(process, now, std::max(now, clock.trueTimeOf(began->mayGrantFrom)));
    }
    if (!seat.isStewardAt(clock.at(now)))
        return;
    checkOthers(process, now, seat.mayGrantAt(clock.at(now)) ? now : TrueTime::max());
    office.until = clock.trueTimeOf(seat.tenureUntil());
    // The latest lease that it can give before its next event.
    const Instant latest = std::min(clock.at(now + tickInterval), seat.tenureUntil() - Duration(1));
    const Instant leaseUntil = seat.routingLeaseUntil(latest);
    const Duration work = shortened(timings.workPastLease, timings.driftPpm);
    office.workUntil = std::max(office.workUntil, clock.trueTimeOf(leaseUntil + work));
    if (!seat.mayGrantAt(clock.at(now)))
        return;
    m_longestDark = std::max(m_longestDark, now - m_servedUntil);
    m_servedUntil = std::max(m_servedUntil, clock.trueTimeOf(leaseUntil));
}

Duration TenureChecker::longestDarkTime(TrueTime now) const
{
    return std::max(m_longestDark, now - m_servedUntil);
}

void TenureChecker::checkOthers(const std::string &process, TrueTime now, TrueTime mayGrantFrom)
{
    for (const auto &[other, office] : m_offices) {
        if (other == process)
            continue;
        std::ostringstream text;
        if (office.until > now)
            text << process << " in office at " << inMilliseconds(now) << ", " << other << " until "
                 << inMilliseconds(office.until);
        else if (office.workUntil > mayGrantFrom)
            text << process << " may grant from " << inMilliseconds(mayGrantFrom) << ", work of "
                 << other << " until " << inMilliseconds(office.workUntil);
        else
            continue;
        m_violations.push_back(text.str());
    }
}

} // namespace bulrush::test
