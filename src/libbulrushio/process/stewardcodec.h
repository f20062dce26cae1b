#pragma once

#include "process/leaderelectionaction.h"
#include "process/leaderelectionevent.h"
#include "process/leaderrow.h"

#include <json/value.h>

#include <optional>

namespace bulrush::io {

/** \returns \a row in the JSON format of the platform's table. */
Json::Value encodeLeaderRow(const LeaderRow &row);

/** \returns the row in \a json, or nothing if a field is missing or of another type. */
std::optional<LeaderRow> decodeLeaderRow(const Json::Value &json);

/** \returns a promise request encoded as the parameters of a remote call. */
Json::Value encodePromiseRequest(const DomainName &domain, const Incarnation &from,
                                 const RequestPromise &question);

/** \returns the promise request in \a json, or nothing if it is invalid. */
std::optional<PromiseRequested> decodePromiseRequest(const Json::Value &json);

/** \returns \a answer encoded as the result of a remote call. */
Json::Value encodePromiseAnswer(const PromiseRequestAnswered &answer);

/** \returns the answer in \a json, or nothing if it is invalid. */
std::optional<PromiseRequestAnswered> decodePromiseAnswer(const Json::Value &json);

/** \returns a release of promises encoded as the parameters of a remote call. */
Json::Value encodePromiseRelease(const DomainName &domain, const ReleasePromise &release);

/** \returns the release in \a json, or nothing if it is invalid. */
std::optional<PromiseReleased> decodePromiseRelease(const Json::Value &json);

} // namespace bulrush::io
