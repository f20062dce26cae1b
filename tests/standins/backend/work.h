#pragma once

#include "backend/observedlog.h"
#include "http/listener.h"
#include "version/fence.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace bulrush::standins {

/** One request for work, read from its header fields. */
struct Work
{
    RequestHandle request;
    std::string service;
    std::string key;
    std::optional<Fence> fence;
    std::string requestId;
    std::string idempotencyKey;
    /** In the server's own clock. */
    std::optional<std::int64_t> deadlineMs;
    /** The query's `serviceMs`, in place of the server's own time for a piece of work. */
    std::optional<std::uint64_t> serviceMs;
    /** The query has `hold=true`: the work runs until it is released. */
    bool isHeld = false;
    /** The query's `answerBytes`: padding in the answer. */
    std::uint64_t answerBytes = 0;
    /** Set once the work has started. */
    std::shared_ptr<Observation> observation;
};

/** Which header field or part of the query was not understood. */
struct BadWork
{
    std::string error;
};

/** \returns the work that \a request asks for. Thread safe. */
std::variant<Work, BadWork> workFrom(const RequestHandle &request);

/** \returns \a fence as `EPOCH.SEQUENCE`. Thread safe. */
std::string toText(Fence fence);

/**
 * \returns the answer to \a work that was done: it names the server and the request, and echoes
 * the length and the XXH3 hash of the body. Thread safe.
 */
Answer doneAnswer(const Work &work, const std::string &server, std::uint64_t run);

} // namespace bulrush::standins
