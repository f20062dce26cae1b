#include "calleranswer.h"

#include "connection/httpfield.h"
#include "connection/httpstatus.h"
#include "platform/requestfields.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bulrush {

namespace {

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;
/** Request timeout, misdirected request, too many requests, service unavailable. */
constexpr std::array<int, 4> notRunStatuses = {408, 421, 429, serviceUnavailable};

} // namespace

bool isNotRunStatus(int status)
{
    return std::ranges::find(notRunStatuses, status) != notRunStatuses.end();
}

CallerAnswer::CallerAnswer(io::HttpResponse response)
    : m_response(std::move(response))
{ }

CallerAnswer CallerAnswer::notRun(const NotRunProof & /*proof*/,
                                  std::optional<std::string> retryAfter)
{
    io::HttpResponse response = io::refusal(serviceUnavailable);
    std::erase_if(response.headers, [](const io::HttpHeader &header) {
        return io::isSameFieldName(header.name, "Retry-After");
    });
    if (retryAfter)
        response.headers.push_back({"Retry-After", *std::move(retryAfter)});
    return CallerAnswer{std::move(response)};
}

CallerAnswer CallerAnswer::unknown(UnknownStatus status)
{
    return CallerAnswer{io::refusal(static_cast<int>(status))};
}

CallerAnswer CallerAnswer::rejected(int status)
{
    return CallerAnswer{io::refusal(status == notFound ? notFound : badRequest)};
}

std::optional<CallerAnswer> CallerAnswer::ofServer(io::HttpResponse response)
{
    if (isNotRunStatus(response.status))
        return std::nullopt;
    response.headers = platform::returnedFields(response.headers);
    return CallerAnswer{std::move(response)};
}

} // namespace bulrush
