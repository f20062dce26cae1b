#include "process/permitcodec.h"

#include "process/jsonreader.h"
#include "process/limitvalue.h"

#include <json/value.h>

#include <array>
#include <utility>

namespace bulrush::io {

namespace {

constexpr std::array<std::pair<PermitOutcome, std::string_view>, 3> outcomeNames = {
    std::pair{PermitOutcome::Granted, "granted"},
    std::pair{PermitOutcome::Refused, "refused"},
    std::pair{PermitOutcome::LimitEnded, "limit-ended"},
};

std::string_view nameOf(PermitOutcome outcome)
{
    for (const auto &[known, name] : outcomeNames) {
        if (known == outcome)
            return name;
    }
    return {};
}

std::optional<PermitOutcome> outcomeNamed(std::string_view text)
{
    for (const auto &[outcome, name] : outcomeNames) {
        if (name == text)
            return outcome;
    }
    return std::nullopt;
}

} // namespace

std::string encodePermitQuery(const PermitQuery &query)
{
    Json::Value json;
    json["server"] = query.server.value();
    json["domain"] = query.domain.value();
    if (query.perSecond)
        json["perSecond"] = *query.perSecond;
    json["statedAgo"] = jsonOf(query.statedAgo);
    json["maxWait"] = jsonOf(query.maxWait);
    json["asBackup"] = query.role == IssuerRole::Backup;
    if (query.view)
        json["view"] = Json::UInt64{*query.view};
    return toCompactJson(json);
}

std::optional<PermitQuery> decodePermitQuery(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    PermitQuery query;
    query.server = ServerName{reader.text("server")};
    query.domain = DomainName{reader.text("domain")};
    query.statedAgo = reader.span("statedAgo");
    query.maxWait = reader.span("maxWait");
    query.role = reader.flag("asBackup") ? IssuerRole::Backup : IssuerRole::Primary;
    // Older daemon versions state no view.
    if (json["view"].isUInt64())
        query.view = json["view"].asUInt64();
    if (!reader.isValid() || query.statedAgo < Duration::zero())
        return std::nullopt;
    if (!json.isMember("perSecond"))
        return query;
    query.perSecond = limitValue(json["perSecond"]);
    return query.perSecond ? std::optional{query} : std::nullopt;
}

std::string encodePermitAnswer(const PermitAnswer &answer)
{
    Json::Value json;
    json["outcome"] = std::string{nameOf(answer.outcome)};
    json["wait"] = jsonOf(answer.wait);
    return toCompactJson(json);
}

std::optional<PermitAnswer> decodePermitAnswer(std::string_view text)
{
    const Json::Value json = parseJson(std::string{text});
    JsonReader reader{json};
    const auto outcome = outcomeNamed(reader.text("outcome"));
    const Duration wait = reader.span("wait");
    if (!reader.isValid() || !outcome || wait < Duration::zero())
        return std::nullopt;
    return PermitAnswer{*outcome, wait};
}

} // namespace bulrush::io
