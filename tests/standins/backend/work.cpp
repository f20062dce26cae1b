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
std::optional<Number> numberFrom(std::string_view text)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;

    return number;
}

std::optional<Fence> fenceFrom(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;

    const auto epoch = numberFrom<std::uint64_t>(text.substr(0, dot));
    const auto sequence = numberFrom<std::uint64_t>(text.substr(dot + 1));
    if (!epoch || !sequence)
        return std::nullopt;

    return Fence{*epoch, *sequence};
}

std::optional<BadWork> readFence(Work &work, const restinio::http_request_header_t &header)
{
    if (!header.has_field("X-Bulrush-Fence"))
        return std::nullopt;

    work.fence = fenceFrom(header.get_field("X-Bulrush-Fence"));
    if (!work.fence)
        return BadWork{"X-Bulrush-Fence is not EPOCH.SEQUENCE"};

    return std::nullopt;
}

std::optional<BadWork> readDeadline(Work &work, const restinio::http_request_header_t &header)
{
    if (!header.has_field("X-Bulrush-Deadline"))
        return std::nullopt;

    work.deadlineMs = numberFrom<std::int64_t>(header.get_field("X-Bulrush-Deadline"));
    if (!work.deadlineMs)
        return BadWork{"X-Bulrush-Deadline is not a number"};

    return std::nullopt;
}

std::optional<BadWork> readQuery(Work &work, const restinio::http_request_header_t &header)
{
    const auto query =
        restinio::try_parse_query<restinio::parse_query_traits::relaxed>(header.query());
    if (!query)
        return std::nullopt; // the caller's query is its own affair

    if (query->has("serviceMs")) {
        const auto text = query->get_param("serviceMs");
        work.serviceMs = numberFrom<std::uint64_t>({text->data(), text->size()});
        if (!work.serviceMs)
            return BadWork{"serviceMs is not a number"};
    }
    work.isHeld = query->has("hold") && query->get_param("hold") == "true";
    if (query->has("answerBytes")) {
        const auto text = query->get_param("answerBytes");
        const auto bytes = numberFrom<std::uint64_t>({text->data(), text->size()});
        if (!bytes)
            return BadWork{"answerBytes is not a number"};
        work.answerBytes = *bytes;
    }
    return std::nullopt;
}

} // namespace

std::variant<Work, BadWork> workFrom(const RequestHandle &request)
{
    const auto &header = request->header();
    Work work;
    work.request = request;
    work.service = header.get_field_or("X-Bulrush-Service", std::string{});
    work.key = header.get_field_or("X-Bulrush-Key", std::string{});
    work.requestId = header.get_field_or("X-Bulrush-Request", std::string{});
    work.idempotencyKey = header.get_field_or("X-Bulrush-Idempotency-Key", std::string{});
    if (auto bad = readFence(work, header))
        return *bad;
    if (auto bad = readDeadline(work, header))
        return *bad;
    if (auto bad = readQuery(work, header))
        return *bad;

    return work;
}

std::string toText(Fence fence)
{
    return std::to_string(fence.epoch) + "." + std::to_string(fence.sequence);
}

Answer doneAnswer(const Work &work, const std::string &server, std::uint64_t run)
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
    content["run"] = Json::UInt64{run};
    if (work.answerBytes > 0)
        content["padding"] = std::string(work.answerBytes, 'x');

    return Answer{200,
                  {{"Content-Type", "application/json"},
                   {"X-Bulrush-Request", work.requestId},
                   {"X-Bulrush-Ran", "yes"}},
                  toJsonText(content)};
}

} // namespace bulrush::standins
