#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace bulrush::standins {

/** Log entry for one piece of work that was started. */
struct Observation
{
    std::string service;
    std::string key;
    std::string fence;
    std::string requestId;
    std::string idempotencyKey;
    /** By the server's own clock, which may have an offset. */
    std::int64_t startMs = 0;
    std::optional<std::int64_t> endMs;
    /** By the monotonic clock that all processes of this host share. */
    std::int64_t startHostUs = 0;
    std::optional<std::int64_t> endHostUs;
};

/**
 * A bounded log of the work that was started; drops the oldest entries. Not thread safe.
 */
class ObservedLog
{
public:
    explicit ObservedLog(std::size_t limit);

    /** \returns the new entry, so that its end can be filled in later. */
    std::shared_ptr<Observation> add(Observation observation);

    /** \returns `{"observed": […], "dropped": N}`, oldest first. */
    Json::Value toJson() const;

private:
    std::size_t m_limit;
    std::uint64_t m_droppedCount = 0;
    std::deque<std::shared_ptr<Observation>> m_entries;
};

} // namespace bulrush::standins
