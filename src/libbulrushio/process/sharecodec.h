#pragma once

#include "process/sharemessages.h"

#include <json/value.h>

#include <optional>

namespace bulrush::io {

/** \returns \a request encoded as the parameters of a remote call. */
Json::Value encodeShareRequest(const ShareRequest &request);

/**
 * \returns the request in \a json, or nothing if a field is missing, of another type or negative.
 */
std::optional<ShareRequest> decodeShareRequest(const Json::Value &json);

/** \returns \a reply encoded as the result of a remote call. */
Json::Value encodeShareReply(const ShareReply &reply);

/** \returns the reply in \a json, or nothing if it is invalid. */
std::optional<ShareReply> decodeShareReply(const Json::Value &json);

} // namespace bulrush::io
