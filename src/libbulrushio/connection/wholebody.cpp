#include "connection/wholebody.h"

#include <utility>

namespace bulrush::io {

namespace {

/**
 * Reads one body. Its pending read keeps the object alive until the body is complete.
 */
class BodyReader : public std::enable_shared_from_this<BodyReader>
{
public:
    BodyReader(std::shared_ptr<IncomingRequest> request, CompleteBodyHandler handler)
        : m_request(std::move(request))
        , m_handler(std::move(handler))
    { }

    void readNext()
    {
        m_request->readBody(
            [self = shared_from_this()](std::error_code error, const std::string &bytes) {
                self->handleBytes(error, bytes);
            });
    }

private:
    void handleBytes(std::error_code error, const std::string &bytes)
    {
        m_body += bytes;
        if (error || bytes.empty())
            m_handler(error, m_body);
        else
            readNext();
    }

    std::shared_ptr<IncomingRequest> m_request;
    CompleteBodyHandler m_handler;
    std::string m_body;
};

} // namespace

void readCompleteBody(const std::shared_ptr<IncomingRequest> &request, CompleteBodyHandler handler)
{
    if (request->isBodyBuffered())
        handler({}, request->body());
    else
        std::make_shared<BodyReader>(request, std::move(handler))->readNext();
}

} // namespace bulrush::io
