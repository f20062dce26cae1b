#pragma once

#include "process/handovermessages.h"
#include "process/leasemessages.h"

#include <json/value.h>

#include <optional>

namespace bulrush::io {

/** \returns \a request encoded as the parameters of a remote call. */
Json::Value encodeLeaseRequest(const LeaseRequest &request);

/** \returns the request in \a json, or nothing if a field is missing or of another type. */
std::optional<LeaseRequest> decodeLeaseRequest(const Json::Value &json);

/** \returns \a reply encoded as the result of a remote call. */
Json::Value encodeLeaseReply(const LeaseReply &reply);

/** \returns the reply in \a json, or nothing if it is invalid. */
std::optional<LeaseReply> decodeLeaseReply(const Json::Value &json);

/** \returns \a order encoded as the parameters of a remote call. */
Json::Value encodeServerOrder(const ServerOrder &order);

/** \returns the order in \a json, or nothing if it is invalid. */
std::optional<ServerOrder> decodeServerOrder(const Json::Value &json);

} // namespace bulrush::io
