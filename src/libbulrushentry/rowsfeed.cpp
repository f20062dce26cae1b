#include "rowsfeed.h"

#include "connection/httpstatus.h"
#include "peerpaths.h"
#include "process/hostclock.h"
#include "process/scalartype.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bulrush {

namespace {

constexpr int ok = 200;
constexpr int serviceUnavailable = 503;

/** Greater ages are reduced to this, as rows are normally far younger. */
constexpr std::uint64_t maxAgeMs = 3'600'000;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    return io::wholeNumber(0, std::numeric_limits<std::uint64_t>::max()).parse(text);
}

/** Removes the first segment and its slash from \a path. \returns the segment. */
std::string_view takePathSegment(std::string_view &path)
{
    const std::size_t end = std::min(path.find('/'), path.size());
    const std::string_view part = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    return part;
}

std::optional<Duration> durationOf(std::string_view text, std::uint64_t maxMs)
{
    const auto number = parseNumber(text);
    if (!number)
        return std::nullopt;
    return std::chrono::milliseconds{std::min(*number, maxMs)};
}

} // namespace

std::optional<FeedRequest> parseFeedRequest(std::string_view path)
{
    path.remove_prefix(feedPath.size());
    const std::string_view table = takePathSegment(path);
    const auto version = parseStoreVersion(takePathSegment(path));
    const auto wait =
        durationOf(takePathSegment(path), RowsFeed::maxWait / std::chrono::milliseconds{1});
    if (table.empty() || !version || !wait)
        return std::nullopt;
    FeedRequest request{std::string{table}, *version, *wait};
    if (path.empty())
        return request;
    request.age = durationOf(path, maxAgeMs);
    return request.age ? std::optional{request} : std::nullopt;
}

std::optional<FeedRequest> parseRowsRequest(std::string_view path)
{
    path.remove_prefix(rowsPath.size());
    const std::string_view table = takePathSegment(path);
    const auto version = parseStoreVersion(path);
    if (table.empty() || !version)
        return std::nullopt;
    return FeedRequest{std::string{table}, *version, Duration::zero()};
}

RowsFeed::RowsFeed(io::LoopTimers &timers, FollowerGroup &group, RowsAdmission &admission)
    : m_admission(admission)
{
    group.setChangeHandler([this] { answerReady(io::hostNow()); });
    timers.every(checkInterval, [this](Instant now) { answerReady(now); });
}

void RowsFeed::ask(const FeedRequest &request, const TableFollower &follower,
                   const std::shared_ptr<io::ResponseWriter> &writer)
{
    const Instant now = io::hostNow();
    m_heldRequests.push_back({request, &follower, writer, now, newerThan(request, follower, now)});
    answerReady(now);
}

Instant RowsFeed::newerThan(const FeedRequest &request, const TableFollower &follower, Instant now)
{
    if (!request.age)
        return follower.confirmedAt();
    return std::min(follower.confirmedAt(), now - *request.age);
}

void RowsFeed::answerReady(Instant now)
{
    // Answering may lead to the next request, which must not modify the list during the iteration.
    std::vector<HeldRequest> held = std::exchange(m_heldRequests, {});
    EncodedChanges encoded;
    for (HeldRequest &entry : held) {
        if (!tryAnswer(entry, encoded, now))
            m_heldRequests.push_back(std::move(entry));
    }
}

/** \returns the changes for \a held, which are encoded once for all requests of its version. */
RowsFeed::EncodedRows &RowsFeed::changesFor(const HeldRequest &held, EncodedChanges &encoded)
{
    const StoreVersion version = held.request.version;
    const auto [place, isNew] = encoded.try_emplace({held.follower, version});
    if (isNew) {
        place->second.rows = held.follower->rowsSince(version, held.requestedAt);
        place->second.list = encodeRowList(place->second.rows);
        place->second.rows.rows.clear();
    }
    return place->second;
}

/**
 * Answers \a held if there are new rows or confirmations, its wait is over, or this daemon can't
 * serve rows. \returns whether it was answered.
 */
bool RowsFeed::tryAnswer(const HeldRequest &held, EncodedChanges &encoded, Instant now)
{
    const bool isFresh = held.follower->isFresh(now);
    const bool hasWaited = now - held.requestedAt >= held.request.wait;
    if (!held.follower->isServing() || (hasWaited && !isFresh)) {
        held.writer->send(io::refusal(serviceUnavailable));
        return true;
    }
    // A later confirmation of unchanged rows is worth an answer, too, as it reduces their age.
    const bool isNewer = held.follower->version() > held.request.version
        || held.follower->confirmedAt() > held.newerThan;
    if (!isFresh || (!isNewer && !hasWaited))
        return false;
    EncodedRows &changes = changesFor(held, encoded);
    changes.rows.age = held.requestedAt - held.follower->confirmedAt();
    std::string body = encodeRows(changes.rows, changes.list);
    if (!m_admission.admits(held.request.table, body.size(), now)) {
        held.writer->send(io::refusal(busyStatus));
        return true;
    }
    held.writer->send({ok, {{"Content-Type", "application/json"}}, std::move(body)});
    return true;
}

} // namespace bulrush
