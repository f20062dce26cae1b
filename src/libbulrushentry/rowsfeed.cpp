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

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    return io::wholeNumber(0, std::numeric_limits<std::uint64_t>::max()).parse(text);
}

} // namespace

std::optional<FeedQuestion> feedQuestion(std::string_view path)
{
    path.remove_prefix(feedPath.size());
    const std::size_t first = path.find('/');
    const std::size_t second = first == std::string_view::npos ? first : path.find('/', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    const auto version = numberOf(path.substr(first + 1, second - first - 1));
    const auto wait = numberOf(path.substr(second + 1));
    if (first == 0 || !version || !wait)
        return std::nullopt;
    const auto longest =
        static_cast<std::uint64_t>(RowsFeed::longestWait / std::chrono::milliseconds{1});
    return FeedQuestion{std::string{path.substr(0, first)}, *version,
                        std::chrono::milliseconds{std::min(*wait, longest)}};
}

RowsFeed::RowsFeed(io::LoopTimers &timers, FollowerGroup &group)
{
    group.setPublishedHandler([this] { look(io::hostNow()); });
    timers.every(lookEvery, [this](Instant now) { look(now); });
}

void RowsFeed::ask(const FeedQuestion &question, TableFollower &follower,
                   const std::shared_ptr<io::ResponseWriter> &writer)
{
    const Instant now = io::hostNow();
    m_held.push_back({question, &follower, writer, now, follower.knownAt()});
    look(now);
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

/** \returns whether \a held was answered, as there is news, no time left, or no store. */
bool RowsFeed::isAnswered(const Held &held, EncodedChanges &encoded, Instant now)
{
    if (!held.follower->isServing(now)) {
        held.writer->send(io::refusal(serviceUnavailable));
        return true;
    }
    // That nothing has changed since is news as well: who follows goes by when it was so.
    const bool hasNews =
        held.follower->version() > held.question.version || held.follower->knownAt() > held.knownAt;
    if (!hasNews && now - held.askedAt < held.question.wait)
        return false;
    const RelayedRows rows = held.follower->rowsSince(held.question.version, held.askedAt);
    std::string &list = encoded[{held.follower, held.question.version}];
    if (list.empty())
        list = encodeRowList(rows);
    held.writer->send({ok, {{"Content-Type", "application/json"}}, encodeRows(rows, list)});
    return true;
}

} // namespace bulrush
