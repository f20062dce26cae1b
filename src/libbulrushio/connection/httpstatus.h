#pragma once

#include "connection/httpclient.h"

#include <string>

namespace bulrush::io {

/** \returns the status line of HTTP/1.1 for \a status, with its line end. Thread safe. */
std::string statusLine(int status);

/**
 * \returns the answer to a request that is refused with \a status before anything was done about
 * it; it says what the caller can do. Thread safe.
 */
HttpResponse refusal(int status);

/** \returns a page of plain text. Thread safe. */
HttpResponse textPage(int status, std::string body);

} // namespace bulrush::io
