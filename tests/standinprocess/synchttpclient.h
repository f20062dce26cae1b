#pragma once

#include <json/value.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::test {

struct SyncHttpHeader
{
    std::string name;
    std::string value;
};

struct SyncHttpRequest
{
    std::string method = "GET";
    /** With or without the leading `http://`. */
    std::string url;
    std::vector<SyncHttpHeader> headers;
    std::string body;
    std::chrono::milliseconds timeout{20'000};
};

/** The outcome of a blocking call. */
struct SyncHttpResult
{
    /** CURLE_OK (0) if and only if the complete answer was received. */
    int curlCode = 0;
    int status = 0;
    std::vector<SyncHttpHeader> headers;
    std::string body;

    /** \returns the value of the first header field \a name; the case of names is ignored. */
    std::optional<std::string> header(std::string_view name) const;

    /** \returns the body parsed as JSON, or null if it is malformed. */
    Json::Value json() const;
};

/**
 * Makes blocking HTTP/1.1 calls with libcurl. Each call uses a new connection, so that libcurl
 * never sends a request twice. Not thread safe: each thread needs its own object.
 */
class SyncHttpClient
{
public:
    SyncHttpClient();
    ~SyncHttpClient();

    SyncHttpClient(const SyncHttpClient &) = delete;
    SyncHttpClient &operator=(const SyncHttpClient &) = delete;

    SyncHttpResult send(const SyncHttpRequest &request);
    SyncHttpResult get(const std::string &url);
    SyncHttpResult post(const std::string &url, const std::string &body);

private:
    void *m_easy;
};

} // namespace bulrush::test
