#include "blockinghttp.h"

#include "connection/answerhead.h"
#include "connection/transporterror.h"
#include "exitcode.h"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <utility>

namespace bulrush::ctl {

namespace {

constexpr std::size_t maxAnswerBytes = std::size_t{64} << 20;

struct EasyDeleter
{
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};

struct ListDeleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

std::size_t appendTo(const char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    const std::size_t bytes = size * count;
    if (body.size() + bytes > maxAnswerBytes)
        return 0;
    body.append(data, bytes);
    return bytes;
}

/** The part of an answer that was received. */
struct ReceivedAnswer
{
    io::AnswerHead head;
    /** Why a line of the head or of the trailer is invalid, if one is. */
    std::error_code lineError;
    std::string body;
};

std::size_t readLine(const char *data, std::size_t size, std::size_t count, void *target)
{
    auto &received = *static_cast<ReceivedAnswer *>(target);
    const std::size_t bytes = size * count;
    received.lineError = received.head.readLine({data, bytes});
    return received.lineError ? 0 : bytes;
}

void setOptions(CURL *handle, const BlockingRequest &request, ReceivedAnswer &received)
{
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(request.timeout).count();
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendTo);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &received.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, readLine);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &received);
    if (request.method == "GET")
        return;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
}

/** \returns the result of a call without a valid answer, which may have taken effect. */
BlockingAnswer unknownOutcome(std::error_code cause)
{
    return {make_error_code(CtlError::Unknown), cause.message(), 0, {}};
}

bool hasSentBytes(CURL *handle)
{
    long bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes > 0;
}

} // namespace

BlockingAnswer fetch(const BlockingRequest &request)
{
    const std::unique_ptr<CURL, EasyDeleter> handle{curl_easy_init()};
    if (!handle)
        return {make_error_code(CtlError::Unreachable), "libcurl gave no handle", 0, {}};

    const std::unique_ptr<curl_slist, ListDeleter> headers{
        curl_slist_append(nullptr, "Content-Type: application/json")};
    ReceivedAnswer received;
    setOptions(handle.get(), request, received);
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());

    const CURLcode code = curl_easy_perform(handle.get());
    if (received.lineError)
        return unknownOutcome(received.lineError);
    if (code != CURLE_OK) {
        const bool isSent = hasSentBytes(handle.get());
        return {make_error_code(isSent ? CtlError::Unknown : CtlError::Unreachable),
                curl_easy_strerror(code),
                0,
                {}};
    }
    // libcurl takes an answer that ends within its head for a complete one.
    if (!received.head.isFinal())
        return unknownOutcome(io::TransportError::AnswerTruncated);
    return {{}, {}, received.head.status(), std::move(received.body)};
}

} // namespace bulrush::ctl
