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

/** One request for work, parsed from its header fields and its query. */
struct Work
{
    RequestHandle request;
    std::string service;
    std::string key;
    std::optional<Fence> fence;
    std::string requestId;
    std::string idempotencyKey;
    /** By the server's own clock, which may have an offset. */
    std::optional<std::int64_t> deadlineMs;
    /** `serviceMs` from the query; overrides the service time of the server. */
    std::optional<std::uint64_t> serviceMs;
    /** Whether the query has `hold=true`: the work runs until `/_control/release` is called. */
    bool isHeld = false;
    /** `answerBytes` from the query: length of the padding in the answer. */
    std::uint64_t answerBytes = 0;
    /** Set once the work has started. */
    std::shared_ptr<Observation> observation;
};

/** Which header field or query parameter is malformed. */
struct MalformedWork
{
    std::string error;
};

/** \returns the work that \a request asks for. Thread safe. */
std::variant<Work, MalformedWork> parsedWork(const RequestHandle &request);

/** \returns \a fence as `EPOCH.SEQUENCE`. Thread safe. */
std::string toText(Fence fence);

/**
 * \returns the answer to \a work that is done. It contains the names of the server and the request,
 * and the length and the XXH3 hash of the request body. Thread safe.
 */
Answer completedAnswer(const Work &work, const std::string &server, std::uint64_t sequenceNumber);

} // namespace bulrush::standins
