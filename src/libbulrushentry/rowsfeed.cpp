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

/** Ages above this are alike: nothing that is known is as old. */
constexpr std::uint64_t longestAgeMs = 3'600'000;

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    return io::wholeNumber(0, std::numeric_limits<std::uint64_t>::max()).parse(text);
}

/** \returns \a path up to the next slash, which is taken off with it. */
std::string_view nextPart(std::string_view &path)
{
    const std::size_t end = std::min(path.find('/'), path.size());
    const std::string_view part = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    return part;
}

std::optional<Duration> spanOf(std::string_view text, std::uint64_t longestMs)
{
    const auto number = numberOf(text);
    if (!number)
        return std::nullopt;
    return std::chrono::milliseconds{std::min(*number, longestMs)};
}

} // namespace

std::optional<FeedQuestion> feedQuestion(std::string_view path)
{
    path.remove_prefix(feedPath.size());
    const std::string_view table = nextPart(path);
    const auto version = numberOf(nextPart(path));
    const auto wait = spanOf(nextPart(path), RowsFeed::longestWait / std::chrono::milliseconds{1});
    if (table.empty() || !version || !wait)
        return std::nullopt;
    FeedQuestion question{std::string{table}, *version, *wait};
    if (path.empty())
        return question;
    question.age = spanOf(path, longestAgeMs);
    return question.age ? std::optional{question} : std::nullopt;
}

std::optional<FeedQuestion> rowsQuestion(std::string_view path)
{
    path.remove_prefix(rowsPath.size());
    const std::string_view table = nextPart(path);
    const auto version = numberOf(path);
    if (table.empty() || !version)
        return std::nullopt;
    return FeedQuestion{std::string{table}, *version, Duration::zero()};
}

RowsFeed::RowsFeed(io::LoopTimers &timers, FollowerGroup &group, RowsServed &served)
    : m_served(served)
{
    group.setPublishedHandler([this] { look(io::hostNow()); });
    timers.every(lookEvery, [this](Instant now) { look(now); });
}

void RowsFeed::ask(const FeedQuestion &question, const TableFollower &follower,
                   const std::shared_ptr<io::ResponseWriter> &writer)
{
    const Instant now = io::hostNow();
    m_held.push_back({question, &follower, writer, now, newsAfter(question, follower, now)});
    look(now);
}

Instant RowsFeed::newsAfter(const FeedQuestion &question, const TableFollower &follower,
                            Instant now)
{
    if (!question.age)
        return follower.knownAt();
    return std::min(follower.knownAt(), now - *question.age);
}

void RowsFeed::look(Instant now)
{
    // Answering may bring the next question, which must not meet a list that is being changed.
    std::vector<Held> held = std::exchange(m_held, {});
    EncodedChanges encoded;
    for (Held &entry : held) {
        if (!isAnswered(entry, encoded, now))
            m_held.push_back(std::move(entry));
    }
}

/** \returns what the one who asks is told, which is made once for all who ask after its version. */
RowsFeed::Encoded &RowsFeed::changesFor(const Held &held, EncodedChanges &encoded)
{
    const std::uint64_t version = held.question.version;
    const auto [place, isNew] = encoded.try_emplace({held.follower, version});
    if (isNew) {
        place->second.told = held.follower->rowsSince(version, held.askedAt);
        place->second.list = encodeRowList(place->second.told);
        place->second.told.rows.clear();
    }
    return place->second;
}

/** \returns whether \a held was answered, as there is news, no time left, or no store. */
bool RowsFeed::isAnswered(const Held &held, EncodedChanges &encoded, Instant now)
{
    const bool isFresh = held.follower->isFresh(now);
    const bool isOver = now - held.askedAt >= held.question.wait;
    if (!held.follower->isServing() || (isOver && !isFresh)) {
        held.writer->send(io::refusal(serviceUnavailable));
        return true;
    }
    // That nothing has changed since is news as well: who follows goes by when it was so.
    const bool hasNews = held.follower->version() > held.question.version
        || held.follower->knownAt() > held.newsAfter;
    if (!isFresh || (!hasNews && !isOver))
        return false;
    Encoded &changes = changesFor(held, encoded);
    changes.told.age = held.askedAt - held.follower->knownAt();
    std::string body = encodeRows(changes.told, changes.list);
    if (!m_served.admits(held.question.table, body.size(), now)) {
        held.writer->send(io::refusal(busyStatus));
        return true;
    }
    held.writer->send({ok, {{"Content-Type", "application/json"}}, std::move(body)});
    return true;
}

} // namespace bulrush
