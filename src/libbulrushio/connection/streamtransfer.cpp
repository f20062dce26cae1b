#include "connection/streamtransfer.h"

#include "connection/curltransfer.h"

#include <utility>

namespace bulrush::io {

StreamTransfer::StreamTransfer(HttpClient &client, HttpRequest request, RequestBody body,
                               std::optional<HttpHeader> echoedField, TransferHandler handler)
    : m_transfer(std::make_shared<CurlTransfer>(client.multi(), std::move(request), std::move(body),
                                                std::move(echoedField), std::move(handler)))
{
    m_transfer->start();
}

StreamTransfer::~StreamTransfer()
{
    m_transfer->abandon();
}

void StreamTransfer::feed(std::string_view bytes)
{
    m_transfer->feed(bytes);
}

void StreamTransfer::finishBody()
{
    m_transfer->finishBody();
}

std::size_t StreamTransfer::bodyRoom() const
{
    return m_transfer->bodyRoom();
}

void StreamTransfer::setAnswerPaused(bool isPaused)
{
    m_transfer->setAnswerPaused(isPaused);
}

void StreamTransfer::fail(std::error_code error)
{
    m_transfer->fail(error);
}

std::size_t StreamTransfer::bufferedBytes() const
{
    return m_transfer->bufferedBytes();
}

} // namespace bulrush::io
