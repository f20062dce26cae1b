#include "connection/proxyexchange.h"

#include "connection/httpfield.h"
#include "connection/streamtransfer.h"
#include "connection/transporterror.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <utility>

namespace bulrush::io {

namespace {

constexpr std::string_view bulrushFieldPrefix = "X-Bulrush-";
constexpr std::string_view requestField = "X-Bulrush-Request";
constexpr std::string_view ranField = "X-Bulrush-Ran";
constexpr std::string_view reasonField = "X-Bulrush-Reason";
constexpr int notModified = 304;

/** Answers up to this size are buffered until complete, so that a truncated one can be replaced. */
constexpr std::size_t maxBufferedAnswerBytes = std::size_t{64} * 1024;

/** Hop-by-hop fields, and fields that are generated anew for the next connection. */
constexpr std::array<std::string_view, 12> hopByHopFields{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Proxy-Connection",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
    "Host",
};

bool isBulrushField(std::string_view name)
{
    return isSameFieldName(name.substr(0, bulrushFieldPrefix.size()), bulrushFieldPrefix);
}

std::vector<HttpHeader> endToEndFields(std::span<const HttpHeader> headers, bool keepsBulrushFields)
{
    const std::vector<std::string_view> connectionOptions = fieldValues(headers, "Connection");
    const auto isDropped = [&](std::string_view name) {
        const auto isSame = [name](std::string_view other) {
            return isSameFieldName(name, other);
        };
        const auto isListed = [name](std::string_view list) {
            return listContains(list, name);
        };
        return std::ranges::any_of(hopByHopFields, isSame)
            || std::ranges::any_of(connectionOptions, isListed)
            || (!keepsBulrushFields && isBulrushField(name));
    };
    std::vector<HttpHeader> kept;
    kept.reserve(headers.size());
    for (const HttpHeader &header : headers) {
        if (!isDropped(header.name))
            kept.push_back(header);
    }
    return kept;
}

std::string firstFieldValue(std::span<const HttpHeader> headers, std::string_view name)
{
    const HttpHeader *header = findField(headers, name);
    return header ? header->value : std::string{};
}

std::optional<std::uint64_t> contentLength(std::span<const HttpHeader> headers)
{
    const std::string text = firstFieldValue(headers, "Content-Length");
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || parsed.ec != std::errc{})
        return std::nullopt;
    return length;
}

} // namespace

RanStatement parseRanStatement(std::string_view ran)
{
    if (isSameFieldName(ran, "yes"))
        return RanStatement::Yes;
    return isSameFieldName(ran, "no") ? RanStatement::No : RanStatement::Missing;
}

ProxyExchange::ProxyExchange(HttpClient &client, std::shared_ptr<IncomingRequest> request,
                             std::shared_ptr<ResponseWriter> writer, ProxyTarget target,
                             ResultHandler handler)
    : m_client(client)
    , m_request(std::move(request))
    , m_writer(std::move(writer))
    , m_target(std::move(target))
    , m_handler(std::move(handler))
{ }

ProxyExchange::~ProxyExchange()
{
    if (!m_isFinished)
        m_request->setDisconnectHandler(nullptr);
}

void ProxyExchange::start()
{
    m_request->setDisconnectHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->m_transfer)
            self->m_transfer->fail(TransportError::CallerDisconnected);
    });
    m_transfer =
        std::make_unique<StreamTransfer>(m_client, outgoingRequest(), outgoingBody(),
                                         HttpHeader{std::string{requestField}, m_target.requestId},
                                         [weak = weak_from_this()](TransferEvent event) {
                                             if (const auto self = weak.lock())
                                                 self->dispatchEvent(std::move(event));
                                         });
}

std::size_t ProxyExchange::peakBufferedBytes() const
{
    return m_peakBufferedBytes;
}

void ProxyExchange::dispatchEvent(TransferEvent event)
{
    if (m_isFinished)
        return;
    updatePeakBufferedBytes();
    std::visit([this](auto &alternative) { handleEvent(alternative); }, event);
    updatePeakBufferedBytes();
}

void ProxyExchange::handleEvent(ResponseHead &head)
{
    m_result.status = head.status;
    m_result.ran = firstFieldValue(head.headers, ranField);
    m_result.reason = firstFieldValue(head.headers, reasonField);
    m_answerHead = std::move(head);
    const Outcome outcome = outcomeOfAnswer(m_result.status, parseRanStatement(m_result.ran),
                                            m_result.reason, Duration{});
    m_isRefused = !std::holds_alternative<CompleteAnswer>(outcome);
    if (m_target.captureLimit > 0)
        m_result.contentType = firstFieldValue(m_answerHead.headers, "Content-Type");
}

void ProxyExchange::handleEvent(BodyChunk &chunk)
{
    if (m_isRefused)
        return; // a refused answer is not relayed
    m_result.answerBytes += chunk.bytes.size();
    if (m_result.answerBytes <= m_target.captureLimit)
        m_result.capturedBody += chunk.bytes;
    else
        m_result.capturedBody.clear();
    if (m_writer->hasBegun()) {
        relayBytes(std::move(chunk.bytes));
        return;
    }
    m_bufferedAnswer += chunk.bytes;
    if (m_bufferedAnswer.size() <= maxBufferedAnswerBytes)
        return;
    beginAnswer();
    relayBytes(std::exchange(m_bufferedAnswer, {}));
}

void ProxyExchange::handleEvent(const BodyRoom &)
{
    readRequestBody();
}

void ProxyExchange::handleEvent(const TransferResult &transferResult)
{
    m_result.bodyBytesSent = transferResult.bodyBytesSent;
    if (m_isRefused) {
        finish(TransportError::ServerRefused, transferResult.stage);
        return;
    }
    if (!transferResult.error)
        finishAnswer();
    finish(transferResult.error, transferResult.stage);
}

HttpRequest ProxyExchange::outgoingRequest() const
{
    const RequestHead &head = m_request->head();
    HttpRequest request{
        head.method,      m_target.origin + head.target, endToEndFields(head.headers, false), {},
        m_target.timeout, m_target.isFreshConnection};
    request.headers.push_back({std::string{requestField}, m_target.requestId});
    request.headers.insert(request.headers.end(), m_target.addedHeaders.begin(),
                           m_target.addedHeaders.end());
    return request;
}

RequestBody ProxyExchange::outgoingBody() const
{
    if (!m_request->isBodyBuffered())
        return StreamedBody{m_request->bodyLength()};
    const std::string &method = m_request->head().method;
    const bool isBodyExpected = method == "POST" || method == "PUT" || method == "PATCH";
    if (m_request->body().empty() && !isBodyExpected)
        return std::monostate{};
    return m_request->body();
}

void ProxyExchange::readRequestBody()
{
    if (m_isReadingBody || m_isFinished || m_bodyBytesRead == m_request->bodyLength())
        return;
    m_isReadingBody = true;
    m_result.isBodyResendable = false;
    m_request->readBody([weak = weak_from_this()](std::error_code error, const std::string &bytes) {
        if (const auto self = weak.lock())
            self->handleBodyRead(error, bytes);
    });
}

void ProxyExchange::handleBodyRead(std::error_code error, const std::string &bytes)
{
    m_isReadingBody = false;
    if (m_isFinished)
        return;
    if (error) {
        m_transfer->fail(error);
        return;
    }
    m_bodyBytesRead += bytes.size();
    m_transfer->feed(bytes);
    updatePeakBufferedBytes();
    if (m_bodyBytesRead == m_request->bodyLength())
        m_transfer->finishBody();
    else if (m_transfer->bodyRoom() > 0)
        readRequestBody();
}

void ProxyExchange::relayBytes(std::string bytes)
{
    m_transfer->setAnswerPaused(true);
    m_bytesInWrite = bytes.size();
    m_writer->write(std::move(bytes), [weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!self || self->m_isFinished)
            return;
        self->m_bytesInWrite = 0;
        if (error)
            self->m_transfer->fail(error);
        else
            self->m_transfer->setAnswerPaused(false);
    });
}

void ProxyExchange::beginAnswer()
{
    ResponseHead head{m_answerHead.status,
                      endToEndFields(m_answerHead.headers, m_target.relaysBulrushFields)};
    m_writer->begin(head, contentLength(m_answerHead.headers));
}

void ProxyExchange::finishAnswer()
{
    if (m_writer->hasBegun()) {
        m_writer->finish();
        return;
    }
    if (m_bufferedAnswer.empty()) {
        // Such an answer announces the length of the body that a GET request would receive.
        const bool announcesGetLength =
            m_request->head().method == "HEAD" || m_result.status == notModified;
        ResponseHead head{m_answerHead.status,
                          endToEndFields(m_answerHead.headers, m_target.relaysBulrushFields)};
        m_writer->begin(head, announcesGetLength ? contentLength(m_answerHead.headers) : 0);
        m_writer->finish();
        return;
    }
    m_writer->send({m_answerHead.status,
                    endToEndFields(m_answerHead.headers, m_target.relaysBulrushFields),
                    std::move(m_bufferedAnswer)});
}

void ProxyExchange::finish(std::error_code error, TransferStage stage)
{
    m_isFinished = true;
    m_request->setDisconnectHandler(nullptr);
    m_result.error = error;
    m_result.stage = stage;
    m_result.hasBegunAnswer = m_writer->hasBegun();
    if (error && m_result.hasBegunAnswer)
        m_writer->abort();
    const ResultHandler handler = std::exchange(m_handler, nullptr);
    const auto keepAlive = shared_from_this();
    handler(m_result);
}

void ProxyExchange::updatePeakBufferedBytes()
{
    const std::size_t transferBytes = m_transfer ? m_transfer->bufferedBytes() : 0;
    m_peakBufferedBytes =
        std::max(m_peakBufferedBytes, transferBytes + m_bufferedAnswer.size() + m_bytesInWrite);
}

} // namespace bulrush::io
