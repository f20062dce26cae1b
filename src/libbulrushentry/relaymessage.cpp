#include "relaymessage.h"

#include "connection/httpfield.h"

#include <array>
#include <charconv>
#include <utility>

namespace bulrush {

namespace {

constexpr std::string_view fromField = "X-Bulrush-Relayed-From";
constexpr std::string_view configField = "X-Bulrush-Relayed-Config";
constexpr std::string_view outcomeField = "X-Bulrush-Relay-Outcome";
constexpr std::string_view reasonField = "X-Bulrush-Relay-Reason";
constexpr std::string_view serverField = "X-Bulrush-Relay-Server";
constexpr std::string_view requestField = "X-Bulrush-Relay-Request";

constexpr std::array<std::pair<RelayOutcome, std::string_view>, 7> outcomeNames = {{
    {RelayOutcome::Answered, "answered"},
    {RelayOutcome::NotRun, "not-run"},
    {RelayOutcome::Denied, "denied"},
    {RelayOutcome::CutOff, "cut-off"},
    {RelayOutcome::Unavailable, "unavailable"},
    {RelayOutcome::Unknown, "unknown"},
    {RelayOutcome::Rejected, "rejected"},
}};

void add(std::vector<io::HttpHeader> &headers, std::string_view name, std::string_view value)
{
    headers.push_back({std::string{name}, std::string{value}});
}

} // namespace

bool statesNotRun(RelayOutcome outcome)
{
    return outcome != RelayOutcome::Answered && outcome != RelayOutcome::Unknown;
}

std::string_view nameOf(RelayOutcome outcome)
{
    for (const auto &[known, name] : outcomeNames) {
        if (known == outcome)
            return name;
    }
    return "unknown";
}

void addRelayTerms(std::vector<io::HttpHeader> &headers, const RelayTerms &terms)
{
    add(headers, fromField, terms.from.value());
    add(headers, configField, std::to_string(terms.configVersion));
}

std::optional<RelayTerms> relayTerms(std::span<const io::HttpHeader> headers)
{
    const io::HttpHeader *from = io::findField(headers, fromField);
    const io::HttpHeader *config = io::findField(headers, configField);
    if (!from || !config)
        return std::nullopt;
    RelayTerms terms{HostName{from->value}, 0};
    const char *end = config->value.data() + config->value.size();
    const auto [last, error] = std::from_chars(config->value.data(), end, terms.configVersion);
    if (error != std::errc{} || last != end)
        return std::nullopt;
    return terms;
}

void addRelayStatement(std::vector<io::HttpHeader> &headers, const RelayStatement &statement)
{
    add(headers, outcomeField, nameOf(statement.outcome));
    add(headers, reasonField, statement.reason);
    if (!statement.server.isEmpty())
        add(headers, serverField, statement.server.value());
    if (!statement.request.empty())
        add(headers, requestField, statement.request);
}

std::optional<RelayStatement> relayStatement(std::span<const io::HttpHeader> headers)
{
    const io::HttpHeader *outcome = io::findField(headers, outcomeField);
    const io::HttpHeader *reason = io::findField(headers, reasonField);
    const bool isAmbiguous = io::fieldValues(headers, outcomeField).size() > 1
        || io::fieldValues(headers, requestField).size() > 1;
    if (!outcome || !reason || isAmbiguous)
        return std::nullopt;
    const io::HttpHeader *server = io::findField(headers, serverField);
    const io::HttpHeader *request = io::findField(headers, requestField);
    for (const auto &[known, name] : outcomeNames) {
        if (name == outcome->value)
            return RelayStatement{known, reason->value, ServerName{server ? server->value : ""},
                                  request ? request->value : ""};
    }
    return std::nullopt;
}

void removeRelayFields(std::vector<io::HttpHeader> &headers)
{
    std::erase_if(headers, [](const io::HttpHeader &header) {
        return io::isSameFieldName(header.name, fromField)
            || io::isSameFieldName(header.name, configField)
            || io::isSameFieldName(header.name, outcomeField)
            || io::isSameFieldName(header.name, reasonField)
            || io::isSameFieldName(header.name, serverField)
            || io::isSameFieldName(header.name, requestField);
    });
}

} // namespace bulrush
