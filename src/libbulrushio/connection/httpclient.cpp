#include "connection/httpclient.h"

#include "connection/curlmulti.h"
#include "connection/curltransfer.h"
#include "connection/transporterror.h"

#include <mutex>
#include <unordered_map>
#include <utility>

namespace bulrush::io {

namespace {

/** Answers are kept in memory completely; longer ones are an error. */
constexpr std::size_t maxAnswerBodyBytes = std::size_t{16} * 1024 * 1024;

void initializeLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

std::shared_ptr<CurlMulti> makeMulti(asio::io_context &loop)
{
    initializeLibrary();
    return std::make_shared<CurlMulti>(loop);
}

RequestBody takeBody(HttpRequest &request)
{
    const bool isBodyless = request.method == "GET" || request.method == "HEAD"
        || request.method == "DELETE" || request.method == "OPTIONS";
    if (request.body.empty() && isBodyless)
        return std::monostate{};
    return std::move(request.body);
}

} // namespace

/** The transfers in flight and the parts of their answers received so far. */
class HttpClient::Impl
{
public:
    explicit Impl(asio::io_context &loop)
        : m_multi(makeMulti(loop))
    { }

    ~Impl();

    struct Fetch
    {
        Handler handler;
        HttpResponse response;
        std::shared_ptr<CurlTransfer> transfer;
    };

    void dispatchEvent(TransferId id, TransferEvent event);
    void handleEvent(TransferId id, ResponseHead &head);
    void handleEvent(TransferId id, BodyChunk &chunk);
    void handleEvent(TransferId id, const BodyRoom &room);
    void handleEvent(TransferId id, const TransferResult &transferResult);

    std::shared_ptr<CurlMulti> m_multi;
    std::unordered_map<TransferId, Fetch> m_fetches;
    TransferId m_lastId = 0;
};

HttpClient::Impl::~Impl()
{
    for (auto &[id, fetch] : m_fetches)
        fetch.transfer->abandon();
}

void HttpClient::Impl::dispatchEvent(TransferId id, TransferEvent event)
{
    if (!m_fetches.contains(id))
        return;
    std::visit([this, id](auto &alternative) { handleEvent(id, alternative); }, event);
}

void HttpClient::Impl::handleEvent(TransferId id, ResponseHead &head)
{
    Fetch &fetch = m_fetches.at(id);
    fetch.response.status = head.status;
    fetch.response.headers = std::move(head.headers);
}

void HttpClient::Impl::handleEvent(TransferId id, BodyChunk &chunk)
{
    Fetch &fetch = m_fetches.at(id);
    if (fetch.response.body.size() + chunk.bytes.size() > maxAnswerBodyBytes) {
        fetch.transfer->abandon();
        handleEvent(id, TransferResult{TransportError::AnswerTooLarge, TransferStage::Sent, 0});
        return;
    }
    if (fetch.response.body.empty())
        fetch.response.body = std::move(chunk.bytes);
    else
        fetch.response.body.append(chunk.bytes);
}

void HttpClient::Impl::handleEvent(TransferId, const BodyRoom &)
{ }

void HttpClient::Impl::handleEvent(TransferId id, const TransferResult &transferResult)
{
    auto node = m_fetches.extract(id);
    Fetch &fetch = node.mapped();
    HttpResult result{transferResult.error, transferResult.stage, {}};
    if (!transferResult.error)
        result.response = std::move(fetch.response);
    fetch.handler(std::move(result));
}

HttpClient::HttpClient(asio::io_context &loop)
    : m_impl(std::make_unique<Impl>(loop))
{ }

HttpClient::~HttpClient() = default;

void HttpClient::setConnectionsPerHost(long count)
{
    m_impl->m_multi->setConnectionsPerHost(count);
}

HttpClient::TransferId HttpClient::fetch(HttpRequest request, Handler handler)
{
    const TransferId id = ++m_impl->m_lastId;
    RequestBody body = takeBody(request);
    auto transfer = std::make_shared<CurlTransfer>(m_impl->m_multi, std::move(request),
                                                   std::move(body), std::nullopt,
                                                   [impl = m_impl.get(), id](TransferEvent event) {
                                                       impl->dispatchEvent(id, std::move(event));
                                                   });
    m_impl->m_fetches.emplace(id, Impl::Fetch{std::move(handler), {}, transfer});
    transfer->start();
    return id;
}

void HttpClient::cancel(TransferId id)
{
    const auto found = m_impl->m_fetches.find(id);
    if (found == m_impl->m_fetches.end())
        return;
    found->second.transfer->abandon();
    m_impl->m_fetches.erase(found);
}

const std::shared_ptr<CurlMulti> &HttpClient::multi() const
{
    return m_impl->m_multi;
}

} // namespace bulrush::io
