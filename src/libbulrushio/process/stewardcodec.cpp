#include "process/stewardcodec.h"

#include "process/jsonreader.h"

#include <array>
#include <string_view>

namespace bulrush::io {

namespace {

constexpr std::array<std::string_view, 3> verdictNames{"promised", "refused", "resigned"};

Json::Value encodeCandidate(const LeaderCandidate &candidate)
{
    Json::Value json{Json::objectValue};
    json["incarnation"] = candidate.incarnation.value();
    json["domain"] = candidate.domain.value();
    json["address"] = candidate.address;
    return json;
}

std::vector<LeaderCandidate> decodeCandidates(JsonReader &row)
{
    std::vector<LeaderCandidate> candidates;
    for (const Json::Value &entry : row.list("candidates")) {
        JsonReader reader{entry};
        candidates.push_back({Incarnation{reader.text("incarnation")},
                              DomainName{reader.text("domain")}, reader.text("address")});
        if (!reader.isValid())
            row.fail();
    }
    return candidates;
}

std::optional<PromiseVerdict> verdictOf(std::string_view name)
{
    for (std::size_t i = 0; i < verdictNames.size(); ++i) {
        if (verdictNames.at(i) == name)
            return static_cast<PromiseVerdict>(i);
    }
    return std::nullopt;
}

} // namespace

Json::Value encodeLeaderRow(const LeaderRow &row)
{
    Json::Value json{Json::objectValue};
    json["holder"] = row.holder.value();
    json["holderAddress"] = row.holderAddress;
    json["epoch"] = jsonOf(row.epoch);
    json["leaseLengthNs"] = jsonOf(row.leaseLength);
    json["promiseLengthNs"] = jsonOf(row.promiseLength);
    json["outageAllowanceNs"] = jsonOf(row.outageAllowance);
    json["workPastLeaseNs"] = jsonOf(row.workPastLease);
    json["renewal"] = jsonOf(row.renewal);
    json["candidates"] = Json::Value{Json::arrayValue};
    for (const LeaderCandidate &candidate : row.candidates)
        json["candidates"].append(encodeCandidate(candidate));
    json["isReleased"] = row.isReleased;
    json["successor"] = row.successor.value();
    json["writer"] = row.writer.value();
    json["writeId"] = row.writeId.value();
    return json;
}

std::optional<LeaderRow> decodeLeaderRow(const Json::Value &json)
{
    JsonReader reader{json};
    LeaderRow row;
    row.holder = Incarnation{reader.text("holder")};
    row.holderAddress = reader.text("holderAddress");
    row.epoch = reader.number("epoch");
    row.leaseLength = reader.span("leaseLengthNs");
    row.promiseLength = reader.span("promiseLengthNs");
    row.outageAllowance = reader.span("outageAllowanceNs");
    row.workPastLease = reader.span("workPastLeaseNs");
    row.renewal = reader.number("renewal");
    row.candidates = decodeCandidates(reader);
    row.isReleased = reader.flag("isReleased");
    row.successor = Incarnation{reader.text("successor")};
    row.writer = Incarnation{reader.text("writer")};
    row.writeId = LeaderWriteId{reader.text("writeId")};
    if (!reader.isValid())
        return std::nullopt;
    return row;
}

Json::Value encodePromiseRequest(const DomainName &domain, const Incarnation &from,
                                 const RequestPromise &question)
{
    Json::Value json{Json::objectValue};
    json["domain"] = domain.value();
    json["from"] = from.value();
    json["to"] = question.to.incarnation.value();
    json["epoch"] = jsonOf(question.epoch);
    json["lengthNs"] = jsonOf(question.length);
    json["askId"] = jsonOf(question.askId);
    return json;
}

std::optional<PromiseRequested> decodePromiseRequest(const Json::Value &json)
{
    JsonReader reader{json};
    const PromiseRequested question{Incarnation{reader.text("from")}, reader.number("epoch"),
                                    reader.span("lengthNs"), reader.number("askId")};
    if (!reader.isValid())
        return std::nullopt;
    return question;
}

Json::Value encodePromiseRelease(const DomainName &domain, const ReleasePromise &release)
{
    Json::Value json{Json::objectValue};
    json["domain"] = domain.value();
    json["to"] = release.to.incarnation.value();
    json["epoch"] = jsonOf(release.epoch);
    json["askId"] = jsonOf(release.askId);
    json["lengthNs"] = jsonOf(release.length);
    return json;
}

std::optional<PromiseReleased> decodePromiseRelease(const Json::Value &json)
{
    JsonReader reader{json};
    const PromiseReleased release{reader.number("epoch"), reader.number("askId"),
                                  reader.span("lengthNs")};
    if (!reader.isValid())
        return std::nullopt;
    return release;
}

Json::Value encodePromiseAnswer(const PromiseRequestAnswered &answer)
{
    Json::Value json{Json::objectValue};
    json["from"] = answer.from.value();
    json["epoch"] = jsonOf(answer.epoch);
    json["askId"] = jsonOf(answer.askId);
    json["verdict"] = std::string{verdictNames.at(static_cast<std::size_t>(answer.verdict))};
    return json;
}

std::optional<PromiseRequestAnswered> decodePromiseAnswer(const Json::Value &json)
{
    JsonReader reader{json};
    const auto verdict = verdictOf(reader.text("verdict"));
    if (!verdict)
        return std::nullopt;

    const PromiseRequestAnswered answer{Incarnation{reader.text("from")}, reader.number("epoch"),
                                        reader.number("askId"), *verdict};
    if (!reader.isValid())
        return std::nullopt;
    return answer;
}

} // namespace bulrush::io
