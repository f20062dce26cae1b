#include "blockinghttp.h"

#include "exitcode.h"

#include <curl/curl.h>

#include <memory>

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

void setOptions(CURL *handle, const BlockingRequest &request, std::string &body)
{
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(request.timeout).count();
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendTo);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &body);
    if (request.method == "GET")
        return;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
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
    BlockingAnswer answer;
    setOptions(handle.get(), request, answer.body);
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());

    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        const bool isSent = hasSentBytes(handle.get());
        answer.error = make_error_code(isSent ? CtlError::Unknown : CtlError::Unreachable);
        answer.cause = curl_easy_strerror(code);
        return answer;
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    return answer;
}

} // namespace bulrush::ctl
