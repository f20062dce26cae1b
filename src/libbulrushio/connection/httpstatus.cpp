#include "connection/httpstatus.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace bulrush::io {

namespace {

struct StatusText
{
    int status;
    std::string_view reason;
    std::string_view advice;
};

constexpr std::array statusTexts{
    StatusText{200, "OK", {}},
    StatusText{201, "Created", {}},
    StatusText{202, "Accepted", {}},
    StatusText{204, "No Content", {}},
    StatusText{304, "Not Modified", {}},
    StatusText{400, "Bad Request", "Not run: this is no well-formed HTTP/1.1 request."},
    StatusText{401, "Unauthorized", {}},
    StatusText{403, "Forbidden", {}},
    StatusText{404, "Not Found", {}},
    StatusText{405, "Method Not Allowed", {}},
    StatusText{408, "Request Timeout", "Not run: the request did not come whole in time."},
    StatusText{409, "Conflict", {}},
    StatusText{411, "Length Required",
               "Not run: send a body of this size with a Content-Length, not in chunks."},
    StatusText{413, "Content Too Large", "Not run: the body exceeds the limit of this service."},
    StatusText{414, "URI Too Long", "Not run: the URL exceeds the limit of this service."},
    StatusText{417, "Expectation Failed", "Not run: no expectation but 100-continue can be met."},
    StatusText{422, "Unprocessable Content", {}},
    StatusText{429, "Too Many Requests", {}},
    StatusText{431, "Request Header Fields Too Large",
               "Not run: the header exceeds the limits of this service."},
    StatusText{500, "Internal Server Error", {}},
    StatusText{501, "Not Implemented", "Not run: this method is not served."},
    StatusText{502, "Bad Gateway", {}},
    StatusText{503, "Service Unavailable", {}},
    StatusText{504, "Gateway Timeout", {}},
    StatusText{505, "HTTP Version Not Supported", "Not run: send the request in HTTP/1.1."},
};

StatusText statusText(int status)
{
    const auto *found = std::ranges::find(statusTexts, status, &StatusText::status);
    return found == statusTexts.end() ? StatusText{status, {}, {}} : *found;
}

} // namespace

std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' + std::string{statusText(status).reason}
    + "\r\n";
}

HttpResponse refusal(int status)
{
    std::string advice{statusText(status).advice};
    return {status, {{"Content-Type", "text/plain"}}, advice + '\n'};
}

HttpResponse plainTextResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

} // namespace bulrush::io
