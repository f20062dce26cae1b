#include "connection/curltransfer.h"

#include "connection/curlmulti.h"
#include "connection/httpfield.h"
#include "connection/transporterror.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace bulrush::io {

namespace {

constexpr std::string_view urlScheme = "http://";
constexpr std::size_t maxResponseFields = 256;

/** \returns the size of the head that libcurl sends if it adds no field except Host. */
std::size_t minHeadSize(const HttpRequest &request)
{
    const std::string_view rest = std::string_view{request.url}.substr(urlScheme.size());
    const std::size_t authority = std::min(rest.find('/'), rest.size());
    const std::size_t path = std::max<std::size_t>(rest.size() - authority, 1);
    std::size_t size = request.method.size() + path + std::strlen("  HTTP/1.1\r\n\r\n");
    if (!findField(request.headers, "Host"))
        size += std::strlen("Host: \r\n") + authority;
    for (const HttpHeader &header : request.headers) {
        size += header.name.size() + header.value.size();
        size += header.value.empty() ? std::strlen(":\r\n") : std::strlen(": \r\n");
    }
    return size;
}

bool isUsable(const HttpRequest &request)
{
    const bool hasScheme = request.url.starts_with(urlScheme);
    const auto isPrintable = [](unsigned char c) {
        return c > ' ' && c != 0x7f;
    };
    return hasScheme && isToken(request.method) && std::ranges::all_of(request.url, isPrintable)
        && std::ranges::all_of(request.headers, isSafeField);
}

} // namespace

CurlTransfer::CurlTransfer(std::shared_ptr<CurlMulti> multi, HttpRequest request, RequestBody body,
                           std::optional<HttpHeader> echoedField, TransferHandler handler)
    : m_multi(std::move(multi))
    , m_request(std::move(request))
    , m_body(std::move(body))
    , m_echoedField(std::move(echoedField))
    , m_handler(std::move(handler))
    , m_timeout(m_multi->loop())
{ }

CurlTransfer::~CurlTransfer()
{
    if (m_handle)
        curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headerList);
}

void CurlTransfer::start()
{
    if (!isUsable(m_request)) {
        end(TransportError::InvalidRequest, TransferStage::NotConnected);
        return;
    }
    if (m_request.timeout <= Duration::zero()) {
        end(TransportError::TimedOut, TransferStage::NotConnected);
        return;
    }
    m_handle = m_multi->acquireHandle();
    if (!m_handle || !prepare() || !m_multi->add(shared_from_this())) {
        end(TransportError::InternalFailure, TransferStage::NotConnected);
        return;
    }
    armTimeout();
}

void CurlTransfer::abandon()
{
    m_isAbandoned = true;
    releaseHandle();
    if (!m_isDelivering)
        m_handler = nullptr;
}

void CurlTransfer::fail(std::error_code error)
{
    if (m_isAbandoned)
        return;
    if (m_result && !m_result->error)
        m_result->error = error;
    else if (!m_result)
        end(error, m_handle ? reachedStage() : TransferStage::NotConnected);
}

void CurlTransfer::feed(std::string_view bytes)
{
    if (m_result || m_isAbandoned)
        return;
    m_outgoing.append(bytes);
    if (m_isSendPaused) {
        m_isSendPaused = false;
        applyPause();
    }
}

void CurlTransfer::finishBody()
{
    m_isBodyFinished = true;
    if (m_isSendPaused && !m_result && !m_isAbandoned) {
        m_isSendPaused = false;
        applyPause();
    }
}

std::size_t CurlTransfer::bodyRoom() const
{
    const std::size_t buffered = m_outgoing.size() - m_outgoingRead;
    return buffered >= transferBufferLimit ? 0 : transferBufferLimit - buffered;
}

void CurlTransfer::setAnswerPaused(bool isPaused)
{
    if (m_isAnswerPaused == isPaused)
        return;
    m_isAnswerPaused = isPaused;
    if (!isPaused)
        m_multi->scheduleDelivery(*this);
}

std::size_t CurlTransfer::bufferedBytes() const
{
    return m_outgoing.size() - m_outgoingRead + m_incoming.size();
}

CURL *CurlTransfer::handle() const
{
    return m_handle;
}

void CurlTransfer::finish(CURLcode code)
{
    const std::error_code error = code == CURLE_OK ? framingError() : toTransportError(code);
    end(error, error ? reachedStage() : TransferStage::Answered);
}

void CurlTransfer::deliver()
{
    const auto keepAlive = shared_from_this();
    m_isDelivering = true;
    deliverEvents();
    m_isDelivering = false;
    if (m_isAbandoned)
        m_handler = nullptr;
}

void CurlTransfer::deliverEvents()
{
    if (m_isRoomEventPending && !m_result && !m_isAbandoned) {
        m_isRoomEventPending = false;
        m_handler(BodyRoom{});
    }
    if (m_isHeadComplete && !m_isHeadDelivered && !m_isAnswerPaused && !m_isAbandoned) {
        m_isHeadDelivered = true;
        m_handler(std::exchange(m_head, {}));
    }
    if (!m_incoming.empty() && !m_isAnswerPaused && !m_isAbandoned)
        m_handler(BodyChunk{std::exchange(m_incoming, {})});
    if (m_isReceivePaused && m_incoming.empty() && !m_result && !m_isAbandoned) {
        m_isReceivePaused = false;
        applyPause();
    }
    if (m_result && (m_result->error || !m_isAnswerPaused) && !m_isAbandoned) {
        m_isAbandoned = true;
        m_handler(*m_result);
    }
}

std::size_t CurlTransfer::onRead(char *buffer, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<CurlTransfer *>(self);
    std::string &buffered = transfer->m_outgoing;
    const std::size_t available = buffered.size() - transfer->m_outgoingRead;
    if (available == 0 && !transfer->m_isBodyFinished) {
        transfer->m_isSendPaused = true;
        transfer->m_isRoomEventPending = true;
        transfer->m_multi->scheduleDelivery(*transfer);
        return CURL_READFUNC_PAUSE;
    }
    const std::size_t copied = std::min(size * count, available);
    std::memcpy(buffer, buffered.data() + transfer->m_outgoingRead, copied);
    transfer->m_outgoingRead += copied;
    if (transfer->m_outgoingRead == buffered.size()) {
        buffered.clear();
        transfer->m_outgoingRead = 0;
    } else if (transfer->m_outgoingRead >= transferBufferLimit / 2) {
        buffered.erase(0, transfer->m_outgoingRead);
        transfer->m_outgoingRead = 0;
    }
    if (!transfer->m_isBodyFinished && transfer->bodyRoom() >= transferBufferLimit / 2) {
        transfer->m_isRoomEventPending = true;
        transfer->m_multi->scheduleDelivery(*transfer);
    }
    return copied;
}

std::size_t CurlTransfer::onWrite(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<CurlTransfer *>(self);
    const std::size_t length = size * count;
    const std::size_t buffered = transfer->m_incoming.size();
    if (buffered > 0 && buffered + length > transferBufferLimit) {
        transfer->m_isReceivePaused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer->m_incoming.append(bytes, length);
    transfer->m_multi->scheduleDelivery(*transfer);
    return length;
}

std::size_t CurlTransfer::onHeader(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<CurlTransfer *>(self);
    transfer->readHeaderLine({bytes, size * count});
    return transfer->m_isMalformed || transfer->m_isMismatched ? 0 : size * count;
}

bool CurlTransfer::prepare()
{
    curl_easy_setopt(m_handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(m_handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    if (m_request.isFreshConnection) {
        // libcurl resends a request only if a reused connection turns out to be dead.
        curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &CurlTransfer::onWrite);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &CurlTransfer::onHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    m_headSize = minHeadSize(m_request);
    prepareBody();
    return prepareHeaders();
}

bool CurlTransfer::prepareHeaders()
{
    // A field without a value prevents libcurl from adding its own.
    std::vector<std::string> lines{"Expect:", "Accept:"};
    bool hasContentType = false;
    for (const HttpHeader &header : m_request.headers) {
        hasContentType = hasContentType || isSameFieldName(header.name, "Content-Type");
        lines.push_back(header.value.empty() ? header.name + ';'
                                             : header.name + ": " + header.value);
    }
    if (!hasContentType)
        lines.emplace_back("Content-Type:");
    for (const std::string &line : lines) {
        curl_slist *extendedList = curl_slist_append(m_headerList, line.c_str());
        if (!extendedList)
            return false;
        m_headerList = extendedList;
    }
    return curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headerList) == CURLE_OK;
}

void CurlTransfer::prepareBody()
{
    if (m_request.method == "HEAD")
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
    if (const auto *completeBody = std::get_if<std::string>(&m_body)) {
        const auto length = static_cast<curl_off_t>(completeBody->size());
        curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, completeBody->data());
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, length);
    } else if (const auto *streamed = std::get_if<StreamedBody>(&m_body)) {
        prepareStreamedBody(*streamed);
    }
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

void CurlTransfer::prepareStreamedBody(const StreamedBody &body)
{
    const auto length = body.length ? static_cast<curl_off_t>(*body.length) : curl_off_t{-1};
    curl_easy_setopt(m_handle, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(m_handle, CURLOPT_INFILESIZE_LARGE, length);
    curl_easy_setopt(m_handle, CURLOPT_READFUNCTION, &CurlTransfer::onRead);
    curl_easy_setopt(m_handle, CURLOPT_READDATA, this);
}

void CurlTransfer::armTimeout()
{
    // libcurl's own time-out is not used, as it does not run while a transfer waits for a
    // connection.
    m_timeout.expires_after(m_request.timeout);
    m_timeout.async_wait([weak = weak_from_this()](asio::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_result)
            self->end(TransportError::TimedOut, self->reachedStage());
    });
}

void CurlTransfer::readHeaderLine(std::string_view line)
{
    const bool isTrailer = m_answerHead.isFinal();
    m_isMalformed =
        m_answerHead.readLine(line) || m_answerHead.headers().size() > maxResponseFields;
    if (!m_isMalformed && !isTrailer && m_answerHead.isFinal())
        completeHead();
}

void CurlTransfer::completeHead()
{
    m_head = {m_answerHead.status(), m_answerHead.takeHeaders()};
    const bool isBodyless = m_request.method == "HEAD" || m_answerHead.isBodyless();
    m_isFramed =
        isBodyless || m_answerHead.isChunked() || findField(m_head.headers, "Content-Length");
    m_isMismatched = !hasMatchingEcho();
    m_isHeadComplete = !m_isMismatched;
    m_multi->scheduleDelivery(*this);
}

bool CurlTransfer::hasMatchingEcho() const
{
    if (!m_echoedField)
        return true;
    const std::vector<std::string_view> values = fieldValues(m_head.headers, m_echoedField->name);
    return values.size() == 1 && values.front() == m_echoedField->value;
}

std::error_code CurlTransfer::framingError() const
{
    // libcurl accepts a truncated head as a complete answer.
    if (!m_isHeadComplete)
        return TransportError::AnswerTruncated;
    if (!m_isFramed)
        return TransportError::AnswerUnframed;
    return {};
}

std::error_code CurlTransfer::toTransportError(CURLcode code) const
{
    if (m_isMalformed)
        return TransportError::AnswerMalformed;
    if (m_isMismatched)
        return TransportError::AnswerMismatched;
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return TransportError::ConnectionFailed;
    case CURLE_URL_MALFORMAT:
        return TransportError::InvalidRequest;
    case CURLE_OPERATION_TIMEDOUT:
        return TransportError::TimedOut;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
        return TransportError::AnswerMalformed;
    case CURLE_ABORTED_BY_CALLBACK:
        return TransportError::RequestTruncated;
    default:
        return m_isHeadComplete ? TransportError::AnswerTruncated : TransportError::ConnectionLost;
    }
}

TransferStage CurlTransfer::reachedStage() const
{
    // Counts the bytes that the socket accepted, over all attempts of this exchange.
    long requestBytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (requestBytes == 0 && sentBodyBytes() == 0)
        return TransferStage::NotConnected;
    return isRequestSent() ? TransferStage::Sent : TransferStage::Sending;
}

bool CurlTransfer::isRequestSent() const
{
    if (const auto *completeBody = std::get_if<std::string>(&m_body);
        completeBody && !completeBody->empty())
        return sentBodyBytes() >= completeBody->size();
    if (const auto *streamed = std::get_if<StreamedBody>(&m_body); streamed)
        return streamed->length && *streamed->length > 0 && sentBodyBytes() >= *streamed->length;
    long requestBytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    return static_cast<std::size_t>(requestBytes) >= m_headSize;
}

std::uint64_t CurlTransfer::sentBodyBytes() const
{
    curl_off_t bytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_SIZE_UPLOAD_T, &bytes);
    return static_cast<std::uint64_t>(std::max<curl_off_t>(bytes, 0));
}

void CurlTransfer::end(std::error_code error, TransferStage stage)
{
    m_result = TransferResult{error, stage, m_handle ? sentBodyBytes() : 0};
    m_multi->scheduleDelivery(*this);
    releaseHandle();
}

void CurlTransfer::releaseHandle()
{
    m_timeout.cancel();
    if (!m_handle)
        return;
    m_multi->remove(*this);
    m_multi->recycleHandle(std::exchange(m_handle, nullptr));
}

void CurlTransfer::applyPause()
{
    const int paused =
        (m_isSendPaused ? CURLPAUSE_SEND : 0) | (m_isReceivePaused ? CURLPAUSE_RECV : 0);
    curl_easy_pause(m_handle, paused);
}

} // namespace bulrush::io
