#include "pacing/serverpace.h"

#include "pacing/slowstart.h"
#include "process/serverdirectory.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Requests that all daemons together have at first at most, whatever the number of slots. */
constexpr double maxTotalWindow = 8.0;
/** Assumed time of a request while nothing is known. */
constexpr Duration assumedReference = std::chrono::milliseconds{150};
/** The window exceeds the reported slots by at most this, so that a wrong report is bounded. */
constexpr double windowExcess = 4.0;
/** Bound of the reported slots; no server processes more at once. */
constexpr double maxSlots = 64.0;

double ratio(Duration part, Duration total)
{
    return static_cast<double>(part.count()) / static_cast<double>(total.count());
}

Duration scaled(Duration span, double factor)
{
    return Duration{static_cast<std::int64_t>(static_cast<double>(span.count()) * factor)};
}

/**
 * \returns when the ramp of first requests reaches a daemon that begins \a delay after the first
 * one at a warm server. The ramp is slower while the server is cold.
 */
Instant rampInstant(Instant from, Instant coldUntil, Duration delay)
{
    const Duration cold = std::max(Duration::zero(), coldUntil - from);
    const Duration coldDelay = scaled(delay, ServerPace::coldFactor);
    if (coldDelay <= cold)
        return from + coldDelay;
    return from + cold + delay - scaled(cold, 1.0 / ServerPace::coldFactor);
}

/** \returns whether the server reported that a slot was free when it answered. */
bool hasFreeSlot(const PaceSample &sample)
{
    return sample.load && sample.load->waiting == 0 && sample.load->running < sample.load->slots;
}

/** \returns the largest useful window. */
double mostWindow(const PaceSample &sample)
{
    const double slots = sample.load ? static_cast<double>(sample.load->slots) : 1.0;
    return std::clamp(slots, 1.0, maxSlots) + windowExcess;
}

/** \returns the number of waiting requests at which daemons step back. */
std::uint32_t waitingLimit(const ServerLoad &load)
{
    return std::max(2U, load.slots / 2);
}

} // namespace

bool ServerPace::isStarting(const KnownServer &server, Instant now)
{
    const bool hasColdTime =
        server.coldRate > 0.0 || server.record.coldRemaining > Duration::zero();
    return hasColdTime && now < server.coldUntil + SlowStart::rampDuration;
}

std::optional<PaceTerms> ServerPace::startTerms(const KnownServer &server, const PaceFleet &fleet,
                                                Instant now)
{
    if (!isStarting(server, now))
        return std::nullopt;
    const auto daemons = static_cast<double>(std::max<std::size_t>(1, fleet.daemonCount));
    const double slots = std::max(1U, server.record.slots);
    const bool isLimited = server.coldRate > 0.0;
    const bool isColdSender = isLimited && fleet.rank && *fleet.rank < SlowStart::senderCount;
    const double sharers =
        isColdSender ? std::min<double>(SlowStart::senderCount, daemons) : daemons;
    PaceTerms terms;
    terms.window = std::min(slots, maxTotalWindow) / sharers;
    // Two groups of daemons that do not know of each other together leave the slots to spare.
    terms.floor = floorFactor * terms.window;
    terms.reference = fleet.reference;
    terms.coldUntil = server.coldUntil;
    if (!fleet.isSpread || isColdSender)
        return terms;
    const Duration reference =
        fleet.reference > Duration::zero() ? fleet.reference : assumedReference;
    const double place = fleet.rank ? static_cast<double>(*fleet.rank) / daemons : fleet.place;
    const Duration spread = std::min(maxSpread, scaled(reference, daemons / (blindShare * slots)));
    // With a cold rate, only the senders send during the cold time.
    const Instant from =
        isLimited ? std::max(server.coldUntil, server.firstSeen) : server.firstSeen;
    terms.notBefore = rampInstant(from, server.coldUntil, scaled(spread, place));
    return terms;
}

bool ServerPace::begin(const PaceTerms &terms, Instant now)
{
    if (terms.cause == PaceCause::Start && std::exchange(m_hasStarted, true))
        return false;
    // The cold time and the spread of a start stay in force if there is trouble during them.
    const Instant coldUntil = std::max(m_terms.coldUntil, terms.coldUntil);
    const Instant notBefore = std::max(m_terms.notBefore, terms.notBefore);
    m_terms = terms;
    m_terms.coldUntil = coldUntil;
    m_terms.notBefore = notBefore;
    m_reference = terms.reference;
    m_window = terms.window;
    m_begunAt = now;
    m_steppedAt = {};
    m_stepCount = 0;
    m_fastCount = 0;
    m_slowCount = 0;
    m_missingCount = 0;
    m_contradictionCount = 0;
    m_lastSlowness = 0.0;
    m_isReportWrong = false;
    m_isActive = true;
    return true;
}

std::optional<PaceCause> ServerPace::recordOutcome(const PaceSample &sample, Duration measured,
                                                   Instant now)
{
    if (const auto trouble = observe(sample, measured))
        return trouble;
    if (!m_isActive)
        return std::nullopt;
    // Requests that were in flight when the trouble was noticed show the trouble, not the pace.
    if (m_terms.cause != PaceCause::Start && now - sample.latency <= m_begunAt)
        return std::nullopt;
    // Without a known time, that of the fastest answer is the reference.
    if (sample.sign == PaceSign::Answered && m_terms.reference == Duration::zero()
        && (m_reference == Duration::zero() || sample.latency < m_reference))
        m_reference = sample.latency;
    if (now >= m_terms.coldUntil)
        checkReport(sample);
    if (sample.sign == PaceSign::Answered)
        m_lastSlowness = slownessOf(sample);
    if (sample.sign == PaceSign::Refused)
        pauseAfter(sample, now);
    const Verdict verdict = verdictOn(sample);
    if (verdict == Verdict::Grow)
        grow(sample);
    else if (verdict == Verdict::Back)
        stepBack(sample, now);
    const bool isFast = sample.sign == PaceSign::Answered && verdict != Verdict::Back
        && ratio(sample.latency, m_reference) <= fastFactor;
    if (isFast)
        ++m_fastCount;
    else if (verdict == Verdict::Back)
        m_fastCount = 0;
    m_isActive = !isOver(sample, verdict, now);
    return std::nullopt;
}

std::optional<PaceCause> ServerPace::recordConnected()
{
    return m_isUnconnectable && std::exchange(m_missingCount, 0) >= freezeThreshold
        ? std::optional{PaceCause::Cut}
        : std::nullopt;
}

Duration ServerPace::pauseBase(Duration latency) const
{
    if (!m_isActive || m_reference == Duration::zero())
        return latency;
    return std::min(latency, scaled(m_reference, fastFactor));
}

/** Counts slow and missing answers. \returns the trouble that \a sample shows to have ended. */
std::optional<PaceCause> ServerPace::observe(const PaceSample &sample, Duration measured)
{
    if (sample.sign == PaceSign::Withdrawn)
        return std::nullopt;
    if (sample.sign == PaceSign::Missing || sample.sign == PaceSign::Unreached) {
        ++m_missingCount;
        m_isUnconnectable = sample.sign == PaceSign::Unreached;
        return std::nullopt;
    }
    if (std::exchange(m_missingCount, 0) >= freezeThreshold)
        return m_isUnconnectable ? PaceCause::Cut : PaceCause::Freeze;
    const bool hasWaited = sample.load && sample.load->waiting > 0;
    if (m_isActive || hasWaited || sample.sign == PaceSign::Refused)
        return std::nullopt;
    // The measured time soon includes a slowdown, and waiting times that the server hides.
    if (m_slowCount == 0)
        m_usualTime =
            m_terms.reference > Duration::zero() ? std::min(measured, m_terms.reference) : measured;
    if (m_usualTime == Duration::zero() || ratio(sample.latency, m_usualTime) <= slowFactor) {
        m_slowCount = 0;
        return std::nullopt;
    }
    if (++m_slowCount < slowdownThreshold)
        return std::nullopt;
    m_slowCount = 0;
    return PaceCause::Slowdown;
}

/** \returns the latency of \a sample as a multiple of the reference; 0 if that is unknown. */
double ServerPace::slownessOf(const PaceSample &sample) const
{
    return m_reference > Duration::zero() ? ratio(sample.latency, m_reference) : 0.0;
}

/**
 * \returns whether \a refusal has another reason than the load, such as a missing key: a slot is
 * reported to be free, and answers are not slow.
 */
bool ServerPace::hasOtherReason(const PaceSample &refusal) const
{
    return hasFreeSlot(refusal) && !m_isReportWrong && m_lastSlowness <= freeFactor;
}

/** Delays the next request: a refusal comes at once, so that its latency determines no pause. */
void ServerPace::pauseAfter(const PaceSample &refusal, Instant now)
{
    const bool isFull = refusal.load && !hasOtherReason(refusal);
    const double pause = isFull ? 1.0 / std::min(1.0, m_window) : 1.0;
    m_terms.notBefore = std::max(m_terms.notBefore, now + scaled(m_reference, pause));
}

/** Compares the reported load with the latency, which a wrong report can't hide. */
void ServerPace::checkReport(const PaceSample &sample)
{
    if (sample.sign != PaceSign::Answered)
        return;
    const bool isContradicted = hasFreeSlot(sample) && slownessOf(sample) > fastFactor;
    m_contradictionCount = isContradicted ? m_contradictionCount + 1 : 0;
    if (m_contradictionCount < contradictionThreshold || std::exchange(m_isReportWrong, true))
        return;
    m_window = std::min(m_window, m_terms.window);
}

ServerPace::Verdict ServerPace::verdictOn(const PaceSample &sample) const
{
    if (sample.sign == PaceSign::Withdrawn)
        return slownessOf(sample) > slowFactor ? Verdict::Back : Verdict::Hold;
    if (sample.sign == PaceSign::Refused && hasOtherReason(sample))
        return Verdict::Hold;
    if (sample.sign != PaceSign::Answered)
        return Verdict::Back;
    const double slow = m_isReportWrong ? unreportedSlowFactor : slowFactor;
    const double fast = m_isReportWrong ? unreportedFastFactor : fastFactor;
    const bool hasReport = sample.load && !m_isReportWrong;
    if (slownessOf(sample) > slow
        || (hasReport && sample.load->waiting >= waitingLimit(*sample.load)))
        return Verdict::Back;
    if (slownessOf(sample) > fast || (hasReport && sample.load->waiting > 0))
        return Verdict::Hold;
    return Verdict::Grow;
}

void ServerPace::grow(const PaceSample &sample)
{
    // Each answer to a full window permits one more request, which doubles it in one round trip.
    if (m_window >= 1.0) {
        if (sample.inFlight + 2.0 > m_window)
            m_window += 1.0;
    } else {
        m_window = std::min(1.0, 2.0 * m_window);
    }
    // At a server with a free slot, the next request takes the place of the answered one.
    if (hasFreeSlot(sample) && !m_isReportWrong && slownessOf(sample) <= freeFactor)
        m_window = std::max(m_window, 1.0);
    m_window = std::min(m_window, mostWindow(sample));
}

/** \returns the remaining fraction of the window, which is smaller the longer the queue is. */
double ServerPace::stepFactorFor(const PaceSample &sample) const
{
    if (sample.sign == PaceSign::Refused)
        return refusedFactor;
    double factor = stepFactor;
    if (sample.load && !m_isReportWrong)
        factor = std::min(
            factor,
            sample.load->slots
                / static_cast<double>(std::max(1U, sample.load->running + sample.load->waiting)));
    if (const double slowness = slownessOf(sample); slowness > slowFactor)
        factor = std::min(factor, 1.0 / slowness);
    return factor;
}

void ServerPace::stepBack(const PaceSample &sample, Instant now)
{
    // The requests that were in flight at the last step show the load before it.
    if (now - sample.latency < m_steppedAt)
        return;
    m_steppedAt = now;
    ++m_stepCount;
    m_window = std::max(m_window * stepFactorFor(sample), m_terms.floor);
}

/**
 * \returns whether the server answers as before, and its capacity is found: its slots are busy, or
 * the window can't usefully grow.
 */
bool ServerPace::isOver(const PaceSample &sample, Verdict verdict, Instant now) const
{
    if (now - m_begunAt >= maxDuration)
        return true;
    const bool areSlotsBusy = verdict == Verdict::Hold && sample.load && sample.load->waiting > 0;
    const bool isCapacityFound = areSlotsBusy || m_window >= mostWindow(sample);
    return m_fastCount >= endThreshold && isCapacityFound && now >= m_terms.coldUntil
        && !m_isReportWrong;
}

} // namespace bulrush
