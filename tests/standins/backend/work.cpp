#include "backend/work.h"

#include "http/json.h"
#include "version/slice.h"

#include <fmt/format.h>
#include <restinio/uri_helpers.hpp>

#include <charconv>
#include <string_view>

namespace bulrush::standins {

namespace {

template<typename Number>
std::optional<Number> parsedNumber(std::string_view text)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;

    return number;
}

std::optional<Fence> parsedFence(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;

    const auto epoch = parsedNumber<std::uint64_t>(text.substr(0, dot));
    const auto sequence = parsedNumber<std::uint64_t>(text.substr(dot + 1));
    if (!epoch || !sequence)
        return std::nullopt;

    return Fence{*epoch, *sequence};
}

std::optional<MalformedWork> parseFence(Work &work, const restinio::http_request_header_t &header)
{
    if (!header.has_field("X-Bulrush-Fence"))
        return std::nullopt;

    work.fence = parsedFence(header.get_field("X-Bulrush-Fence"));
    if (!work.fence)
        return MalformedWork{"X-Bulrush-Fence is not EPOCH.SEQUENCE"};

    return std::nullopt;
}

std::optional<MalformedWork> parseDeadline(Work &work,
                                           const restinio::http_request_header_t &header)
{
    if (!header.has_field("X-Bulrush-Deadline"))
        return std::nullopt;

    work.deadlineMs = parsedNumber<std::int64_t>(header.get_field("X-Bulrush-Deadline"));
    if (!work.deadlineMs)
        return MalformedWork{"X-Bulrush-Deadline is not a number"};

    return std::nullopt;
}

std::optional<MalformedWork> parseQuery(Work &work, const restinio::http_request_header_t &header)
{
    const auto query =
        restinio::try_parse_query<restinio::parse_query_traits::relaxed>(header.query());
    if (!query)
        return std::nullopt; // callers may send queries of any form

    if (query->has("serviceMs")) {
        const auto text = query->get_param("serviceMs");
        work.serviceMs = parsedNumber<std::uint64_t>({text->data(), text->size()});
        if (!work.serviceMs)
            return MalformedWork{"serviceMs is not a number"};
    }
    work.isHeld = query->has("hold") && query->get_param("hold") == "true";
    if (query->has("answerBytes")) {
        const auto text = query->get_param("answerBytes");
        const auto bytes = parsedNumber<std::uint64_t>({text->data(), text->size()});
        if (!bytes)
            return MalformedWork{"answerBytes is not a number"};
        work.answerBytes = *bytes;
    }
    return std::nullopt;
}

} // namespace

std::variant<Work, MalformedWork> parsedWork(const RequestHandle &request)
{
    const auto &header = request->header();
    Work work;
    work.request = request;
    work.service = header.get_field_or("X-Bulrush-Service", std::string{});
    work.key = header.get_field_or("X-Bulrush-Key", std::string{});
    work.requestId = header.get_field_or("X-Bulrush-Request", std::string{});
    work.idempotencyKey = header.get_field_or("X-Bulrush-Idempotency-Key", std::string{});
    if (auto malformed = parseFence(work, header))
        return *malformed;
    if (auto malformed = parseDeadline(work, header))
        return *malformed;
    if (auto malformed = parseQuery(work, header))
        return *malformed;

    return work;
}

std::string toText(Fence fence)
{
    return std::to_string(fence.epoch) + "." + std::to_string(fence.sequence);
}

Answer completedAnswer(const Work &work, const std::string &server, std::uint64_t sequenceNumber)
{
    const std::string &body = work.request->body();
    Json::Value content;
    content["server"] = server;
    content["service"] = work.service;
    content["key"] = work.key;
    content["request"] = work.requestId;
    content["idempotencyKey"] = work.idempotencyKey;
    content["method"] = work.request->header().method().c_str();
    content["target"] = work.request->header().request_target();
    content["length"] = Json::UInt64{body.size()};
    content["xxh3"] = fmt::format("{:016x}", hashOfKey(body));
    content["run"] = Json::UInt64{sequenceNumber};
    if (work.answerBytes > 0)
        content["padding"] = std::string(work.answerBytes, 'x');

    return Answer{200,
                  {{"Content-Type", "application/json"},
                   {"X-Bulrush-Request", work.requestId},
                   {"X-Bulrush-Ran", "yes"}},
                  toJsonText(content)};
}

} // namespace bulrush::standins
