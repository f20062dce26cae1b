#include "standinprocess/synchttpclient.h"

#include <curl/curl.h>
#include <json/reader.h>

#include <memory>
#include <stdexcept>
#include <strings.h>

namespace bulrush::test {

namespace {

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t appendBody(const char *data, std::size_t size, std::size_t count, void *result)
{
    static_cast<SyncHttpResult *>(result)->body.append(data, size * count);
    return size * count;
}

std::size_t appendHeader(const char *data, std::size_t size, std::size_t count, void *result)
{
    std::string_view line{data, size * count};
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return line.size();

    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    value = value.substr(0, value.find_first_of("\r\n"));
    static_cast<SyncHttpResult *>(result)->headers.push_back(
        {std::string{line.substr(0, colon)}, std::string{value}});
    return line.size();
}

HeaderList headerListOf(const SyncHttpRequest &request)
{
    // Without this, libcurl sends "Expect: 100-continue" and delays large bodies until the server
    // agrees.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const SyncHttpHeader &header : request.headers)
        list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
    return HeaderList{list, &curl_slist_free_all};
}

} // namespace

std::optional<std::string> SyncHttpResult::header(std::string_view name) const
{
    const std::string wantedName{name};
    for (const SyncHttpHeader &field : headers) {
        if (strcasecmp(field.name.c_str(), wantedName.c_str()) == 0)
            return field.value;
    }
    return std::nullopt;
}

Json::Value SyncHttpResult::json() const
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    if (!reader->parse(body.data(), body.data() + body.size(), &value, nullptr))
        return Json::nullValue;

    return value;
}

SyncHttpClient::SyncHttpClient()
    : m_easy(curl_easy_init())
{
    if (m_easy == nullptr)
        throw std::runtime_error("curl_easy_init failed");
}

SyncHttpClient::~SyncHttpClient()
{
    curl_easy_cleanup(m_easy);
}

SyncHttpResult SyncHttpClient::send(const SyncHttpRequest &request)
{
    SyncHttpResult result;
    const HeaderList headers = headerListOf(request);
    curl_easy_reset(m_easy);
    curl_easy_setopt(m_easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(m_easy, CURLOPT_NOBODY, request.method == "HEAD" ? 1L : 0L);
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    // If a reused connection turns out to be closed, libcurl sends the request a second time.
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, &result);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &appendHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, &result);
    if (!request.body.empty() || request.method == "POST") {
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
    }

    result.curlCode = curl_easy_perform(m_easy);
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
    return result;
}

SyncHttpResult SyncHttpClient::get(const std::string &url)
{
    return send({"GET", url, {}, {}});
}

SyncHttpResult SyncHttpClient::post(const std::string &url, const std::string &body)
{
    return send({"POST", url, {{"Content-Type", "application/json"}}, body});
}

} // namespace bulrush::test
