#pragma once

#include "connection/httpclient.h"
#include "request/requestcopies.h"

#include <optional>
#include <string>

namespace bulrush {

/**
 * \returns whether callers take \a status as a promise that the request has not run and never will.
 * Thread safe.
 */
bool isNotRunStatus(int status);

/**
 * The final answer to a caller. Only notRun() makes one whose status promises that the request did
 * not run.
 *
 * Immutable.
 */
class CallerAnswer
{
public:
    enum class UnknownStatus {
        BadGateway = 502,
        GatewayTimeout = 504,
    };

    /** \returns a refusal; \a retryAfter states when the caller may retry, in seconds. */
    static CallerAnswer notRun(const NotRunProof &proof, std::optional<std::string> retryAfter);

    /** \returns an answer that leaves open whether the request ran. */
    static CallerAnswer unknown(UnknownStatus status);

    /** \returns the rejection of an invalid request. \pre \a status is 400 or 404 */
    static CallerAnswer rejected(int status);

    /**
     * \returns the server's own answer \a response, without the fields of its connection, or
     * nothing if its status would promise that the request did not run.
     */
    static std::optional<CallerAnswer> ofServer(io::HttpResponse response);

    const io::HttpResponse &response() const;

private:
    explicit CallerAnswer(io::HttpResponse response);

    io::HttpResponse m_response;
};

inline const io::HttpResponse &CallerAnswer::response() const
{
    return m_response;
}

} // namespace bulrush
