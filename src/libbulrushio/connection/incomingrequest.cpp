#include "connection/incomingrequest.h"

#include <utility>

namespace bulrush::io {

IncomingRequest::IncomingRequest(RequestHead head, std::string body, std::uint64_t bodyLength,
                                 std::string remoteAddress, std::shared_ptr<CallerLink> link,
                                 MemoryHolder memory)
    : m_head(std::move(head))
    , m_body(std::move(body))
    , m_bodyLength(bodyLength)
    , m_isBodyBuffered(m_body.size() == bodyLength)
    , m_remoteAddress(std::move(remoteAddress))
    , m_link(std::move(link))
    , m_memory(std::move(memory))
{
    if (!m_isBodyBuffered)
        m_memory.setTransfer(m_link->bodyTransfer());
}

std::string IncomingRequest::takeBody()
{
    return std::move(m_body);
}

void IncomingRequest::readBody(CallerLink::BodyHandler handler)
{
    m_link->readBody(std::move(handler));
}

void IncomingRequest::setDisconnectHandler(CallerLink::DisconnectHandler handler)
{
    m_link->setDisconnectHandler(std::move(handler));
}

bool IncomingRequest::hasCallerClosed() const
{
    return m_link->hasCallerClosed();
}

} // namespace bulrush::io
