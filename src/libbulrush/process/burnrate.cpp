#include "process/burnrate.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr Duration latencyPartWidth = std::chrono::minutes{10};
/** Lower bound of the share of bad requests that a target allows; keeps rates finite. */
constexpr double minAllowedBadShare = 1e-9;

enum WindowIndex { FiveMinutes, OneHour, SixHours, ThreeDays };

bool isSameSeries(const BurnSeries &first, const BurnSeries &second)
{
    return first.organisation == second.organisation && first.operation == second.operation;
}

bool isSeriesLess(const BurnSeries &first, const BurnSeries &second)
{
    return std::tie(first.organisation, first.operation)
        < std::tie(second.organisation, second.operation);
}

bool isStricter(const ServiceTarget &first, const ServiceTarget &second)
{
    return std::pair(-first.share, first.latency) < std::pair(-second.share, second.latency);
}

void addCounts(BurnSeries &sum, const BurnSeries &added)
{
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        sum.windows[window].good += added.windows[window].good;
        sum.windows[window].bad += added.windows[window].bad;
    }
    sum.latencies.resize(std::max(sum.latencies.size(), added.latencies.size()));
    for (std::size_t bin = 0; bin < added.latencies.size(); ++bin)
        sum.latencies[bin] += added.latencies[bin];
}

WindowBurn burnOf(GoodBad counted, double targetShare)
{
    const auto total = static_cast<double>(counted.good + counted.bad);
    const double badShare = total > 0 ? static_cast<double>(counted.bad) / total : 0;
    return {counted, badShare / std::max(1 - targetShare, minAllowedBadShare)};
}

BurnRow rowOf(const BurnSeries &sum, bool hasMixedTargets)
{
    BurnRow row;
    row.organisation = sum.organisation;
    row.operation = sum.operation;
    row.target = sum.target;
    row.hasMixedTargets = hasMixedTargets;
    for (std::size_t window = 0; window < burnWindows.size(); ++window)
        row.windows[window] = burnOf(sum.windows[window], sum.target.share);
    row.budgetLeft = 1 - row.windows[ThreeDays].rate;
    row.isBurningFast =
        row.windows[FiveMinutes].rate >= fastBurnRate && row.windows[OneHour].rate >= fastBurnRate;
    row.isBurningSlowly =
        row.windows[SixHours].rate > slowBurnRate && row.windows[ThreeDays].rate > slowBurnRate;
    if (const auto latencies = LatencyHistogram::fromCounts(sum.latencies)) {
        row.median = latencies->quantile(0.5);
        row.percentile99 = latencies->quantile(0.99);
    }
    return row;
}

/** \returns the latest snapshot of each host, sorted by host. */
std::vector<const BurnSnapshot *> latestByHost(std::span<const BurnSnapshot> snapshots)
{
    std::map<HostName, const BurnSnapshot *> last;
    for (const BurnSnapshot &snapshot : snapshots)
        last[snapshot.host] = &snapshot;

    std::vector<const BurnSnapshot *> result;
    result.reserve(last.size());
    for (const auto &[host, snapshot] : last)
        result.push_back(snapshot);
    return result;
}

std::vector<BurnRow> rowsOf(std::span<const BurnSnapshot *const> snapshots)
{
    std::vector<BurnSeries> all;
    for (const BurnSnapshot *snapshot : snapshots)
        all.insert(all.end(), snapshot->series.begin(), snapshot->series.end());
    std::ranges::stable_sort(all, isSeriesLess);

    std::vector<BurnRow> rows;
    for (auto first = all.begin(); first != all.end();) {
        BurnSeries sum = *first;
        bool hasMixedTargets = false;
        auto next = first + 1;
        for (; next != all.end() && isSameSeries(*first, *next); ++next) {
            addCounts(sum, *next);
            hasMixedTargets = hasMixedTargets || next->target != first->target;
            if (isStricter(next->target, sum.target))
                sum.target = next->target;
        }
        rows.push_back(rowOf(sum, hasMixedTargets));
        first = next;
    }
    return rows;
}

} // namespace

BurnRecorder::BurnRecorder(Instant startedAt)
    : m_startedAt(startedAt)
{ }

BurnRecorder::Series::Series(const ServiceTarget &initialTarget)
    : target(initialTarget)
{
    for (const BurnWindow &window : burnWindows)
        windows.emplace_back(window.window, window.slotWidth);
}

void BurnRecorder::setTarget(const OrganisationName &organisation, const OperationName &operation,
                             const ServiceTarget &target)
{
    const auto [place, isNew] = m_series.try_emplace({organisation, operation}, target);
    if (!isNew)
        place->second.target = target;
}

void BurnRecorder::removeTarget(const OrganisationName &organisation,
                                const OperationName &operation)
{
    m_series.erase({organisation, operation});
}

void BurnRecorder::record(Instant now, const OrganisationName &organisation,
                          const OperationName &operation, ServiceOutcome outcome, Duration latency)
{
    if (outcome == ServiceOutcome::CallerError)
        return;

    const auto found = m_series.find({organisation, operation});
    if (found == m_series.end()) {
        ++m_ignored;
        return;
    }
    Series &series = found->second;
    const bool isAnswered = outcome == ServiceOutcome::Answered;
    const bool isGood = isAnswered && latency <= series.target.latency;
    const GoodBad counted = isGood ? GoodBad{1, 0} : GoodBad{0, 1};
    for (RollingCount &window : series.windows)
        window.add(now, counted);
    if (!isAnswered)
        return;

    advanceLatencies(series, now);
    series.latencies[static_cast<std::size_t>(series.latencyPart) % latencyParts].record(latency);
}

BurnSnapshot BurnRecorder::snapshot(Instant now, const HostName &host,
                                    const Incarnation &incarnation)
{
    BurnSnapshot result{host, incarnation, now - m_startedAt, {}};
    for (auto &[key, series] : m_series) {
        BurnSeries counted{key.organisation, key.operation, series.target, {}, {}};
        for (std::size_t window = 0; window < burnWindows.size(); ++window)
            counted.windows[window] = series.windows[window].sum(now);
        advanceLatencies(series, now);
        LatencyHistogram latencies;
        for (const LatencyHistogram &part : series.latencies)
            latencies.merge(part);
        counted.latencies = latencies.counts();
        result.series.push_back(std::move(counted));
    }
    return result;
}

std::uint64_t BurnRecorder::ignored() const
{
    return m_ignored;
}

void BurnRecorder::advanceLatencies(Series &series, Instant now)
{
    const std::int64_t wanted = now.time_since_epoch() / latencyPartWidth;
    const auto parts = static_cast<std::int64_t>(latencyParts);
    const std::int64_t firstNew = std::max(series.latencyPart + 1, wanted - parts + 1);
    for (std::int64_t part = firstNew; part <= wanted; ++part)
        series.latencies[static_cast<std::size_t>(part) % latencyParts].clear();
    series.latencyPart = std::max(series.latencyPart, wanted);
}

BurnSnapshot mergedThreads(std::span<const BurnSnapshot> snapshots)
{
    BurnSnapshot result = snapshots.front();
    for (const BurnSnapshot &snapshot : snapshots.subspan(1)) {
        for (const BurnSeries &series : snapshot.series) {
            const auto found = std::ranges::find_if(
                result.series, [&](const BurnSeries &held) { return isSameSeries(held, series); });
            if (found == result.series.end())
                result.series.push_back(series);
            else
                addCounts(*found, series);
        }
    }
    std::ranges::sort(result.series, isSeriesLess);
    return result;
}

BurnReport burnReport(std::span<const BurnSnapshot> snapshots, std::span<const HostName> expected)
{
    const std::vector<const BurnSnapshot *> counted = latestByHost(snapshots);
    BurnReport report;
    report.rows = rowsOf(counted);
    for (const BurnSnapshot *snapshot : counted) {
        const bool isFirst = report.reported.empty();
        report.minObservedDuration = isFirst
            ? snapshot->observedFor
            : std::min(report.minObservedDuration, snapshot->observedFor);
        report.partlyObserved += snapshot->observedFor < burnWindows.back().window ? 1 : 0;
        report.reported.push_back(snapshot->host);
    }
    for (const HostName &host : expected) {
        if (std::ranges::find(report.reported, host) == report.reported.end())
            report.missing.push_back(host);
    }
    std::ranges::sort(report.missing);
    return report;
}

} // namespace bulrush
