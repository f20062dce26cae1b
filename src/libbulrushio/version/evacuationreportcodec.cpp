#include "version/evacuationreportcodec.h"

#include "process/jsonreader.h"

#include <utility>

namespace bulrush::io {

namespace {

Json::Value toJson(const DomainUse &use)
{
    Json::Value json{Json::objectValue};
    json["domain"] = use.domain.value();
    json["servers"] = jsonOf(use.servers);
    json["slots"] = jsonOf(use.slots);
    json["keys"] = jsonOf(use.keys);
    json["inFlight"] = jsonOf(use.inFlight);
    return json;
}

std::optional<DomainUse> domainUse(const Json::Value &json)
{
    JsonReader reader{json};
    DomainUse use;
    use.domain = DomainName{reader.text("domain")};
    use.servers = reader.number("servers");
    use.slots = reader.number("slots");
    use.keys = reader.number("keys");
    use.inFlight = reader.number("inFlight");
    return reader.isValid() ? std::optional{std::move(use)} : std::nullopt;
}

std::optional<ServiceUse> serviceUse(const Json::Value &json)
{
    JsonReader reader{json};
    ServiceUse service{ServiceName{reader.text("service")}, {}};
    for (const Json::Value &entry : reader.list("domains")) {
        std::optional<DomainUse> use = domainUse(entry);
        if (!use)
            return std::nullopt;
        service.domains.push_back(std::move(*use));
    }
    return reader.isValid() ? std::optional{std::move(service)} : std::nullopt;
}

std::optional<EvacuatedDomain> evacuatedDomain(const Json::Value &json)
{
    JsonReader reader{json};
    EvacuatedDomain evacuated{DomainName{reader.text("domain")}, reader.span("age")};
    return reader.isValid() ? std::optional{std::move(evacuated)} : std::nullopt;
}

} // namespace

std::string encodeEvacuationReport(const EvacuationReport &report)
{
    Json::Value json{Json::objectValue};
    json["host"] = report.host.value();
    json["evacuated"] = Json::Value{Json::arrayValue};
    for (const EvacuatedDomain &evacuated : report.evacuated) {
        Json::Value entry{Json::objectValue};
        entry["domain"] = evacuated.domain.value();
        entry["age"] = jsonOf(evacuated.age);
        json["evacuated"].append(std::move(entry));
    }
    json["services"] = Json::Value{Json::arrayValue};
    for (const ServiceUse &service : report.services) {
        Json::Value entry{Json::objectValue};
        entry["service"] = service.service.value();
        entry["domains"] = Json::Value{Json::arrayValue};
        for (const DomainUse &use : service.domains)
            entry["domains"].append(toJson(use));
        json["services"].append(std::move(entry));
    }
    return toCompactJson(json);
}

std::optional<EvacuationReport> decodeEvacuationReport(const Json::Value &json)
{
    if (!json.isObject())
        return std::nullopt;
    JsonReader reader{json};
    EvacuationReport report;
    report.host = HostName{reader.text("host")};
    for (const Json::Value &entry : reader.list("evacuated")) {
        std::optional<EvacuatedDomain> evacuated = evacuatedDomain(entry);
        if (!evacuated)
            return std::nullopt;
        report.evacuated.push_back(std::move(*evacuated));
    }
    for (const Json::Value &entry : reader.list("services")) {
        std::optional<ServiceUse> service = serviceUse(entry);
        if (!service)
            return std::nullopt;
        report.services.push_back(std::move(*service));
    }
    return reader.isValid() ? std::optional{std::move(report)} : std::nullopt;
}

} // namespace bulrush::io
