#pragma once

#include "connection/httpclient.h"

#include <string>

namespace bulrush::io {

/** \returns the HTTP/1.1 status line for \a status, including the line end. Thread safe. */
std::string statusLine(int status);

/**
 * \returns the answer to a request that is refused with \a status before it was run; its body
 * states how the caller can correct the request. Thread safe.
 */
HttpResponse refusal(int status);

/** \returns an answer with \a body as plain text. Thread safe. */
HttpResponse plainTextResponse(int status, std::string body);

} // namespace bulrush::io
