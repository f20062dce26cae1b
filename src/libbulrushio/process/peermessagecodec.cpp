#include "process/peermessagecodec.h"

#include <json/json.h>

#include <memory>
#include <stdexcept>
#include <utility>

namespace bulrush::io {

namespace {

/**
 * Maximum value of Summary::age. A greater age is sent as if the sender's contracts had never been
 * current, and a received age beyond this limit is rejected.
 */
constexpr Duration maxSummaryAge = std::chrono::hours{24 * 30};

class PeerMessageCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "peer message";
    }

    std::string message(int value) const override
    {
        switch (static_cast<PeerMessageError>(value)) {
        case PeerMessageError::NotJson:
            return "the message is not JSON";
        case PeerMessageError::UnknownKind:
            return "the message is of an unknown kind";
        case PeerMessageError::WrongField:
            return "a field of the message is missing or wrong";
        }
        return "unknown error";
    }
};

/** Thrown only within this file. decodePeerMessage() converts it to an error code. */
class DecodeFailure : public std::exception
{
public:
    explicit DecodeFailure(PeerMessageError error)
        : m_error(error)
    { }

    PeerMessageError error() const
    {
        return m_error;
    }

private:
    PeerMessageError m_error;
};

void require(bool condition)
{
    if (!condition)
        throw DecodeFailure(PeerMessageError::WrongField);
}

std::string textOf(const Json::Value &value)
{
    require(value.isString());
    return value.asString();
}

std::uint64_t numberOf(const Json::Value &value)
{
    require(value.isUInt64());
    return value.asUInt64();
}

const Json::Value &listOf(const Json::Value &value)
{
    require(value.isArray());
    return value;
}

const Json::Value &fieldsOf(const Json::Value &value, Json::ArrayIndex count)
{
    require(value.isArray() && value.size() == count);
    return value;
}

Json::Value numberValue(std::uint64_t number)
{
    return Json::Value(static_cast<Json::UInt64>(number));
}

// Member records are encoded as arrays, not as objects, because they are most of the traffic.

Json::Value encode(const MemberRecord &record)
{
    Json::Value value(Json::arrayValue);
    value.append(record.host.value());
    value.append(record.domain.value());
    value.append(record.address);
    value.append(record.incarnation.value());
    value.append(numberValue(record.generation));
    value.append(numberValue(record.counter));
    value.append(static_cast<int>(record.state));
    value.append(record.relayAddress);
    return value;
}

MemberRecord decodeMember(const Json::Value &value)
{
    const Json::Value &fields = fieldsOf(value, 8);
    MemberRecord record;
    record.host = HostName(textOf(fields[0]));
    record.domain = DomainName(textOf(fields[1]));
    record.address = textOf(fields[2]);
    record.incarnation = Incarnation(textOf(fields[3]));
    record.generation = numberOf(fields[4]);
    record.counter = numberOf(fields[5]);
    const std::uint64_t state = numberOf(fields[6]);
    require(state <= static_cast<std::uint64_t>(MemberState::Gone));
    record.state = static_cast<MemberState>(state);
    record.relayAddress = textOf(fields[7]);
    return record;
}

Json::Value encode(const ItemKey &key)
{
    Json::Value value(Json::arrayValue);
    value.append(static_cast<int>(key.kind));
    value.append(key.name);
    return value;
}

ItemKey decodeKey(const Json::Value &kind, const Json::Value &name)
{
    const std::uint64_t number = numberOf(kind);
    require(number <= static_cast<std::uint64_t>(ItemKind::Assignment));
    return {static_cast<ItemKind>(number), textOf(name)};
}

Json::Value encode(const ItemHeader &header)
{
    Json::Value value = encode(header.key);
    value.append(numberValue(header.version.epoch));
    value.append(numberValue(header.version.sequence));
    value.append(numberValue(header.bodyHash));
    return value;
}

ItemHeader decodeHeader(const Json::Value &value)
{
    const Json::Value &fields = fieldsOf(value, 5);
    return {decodeKey(fields[0], fields[1]),
            {numberOf(fields[2]), numberOf(fields[3])},
            numberOf(fields[4])};
}

Json::Value encode(const VersionedItem &item)
{
    Json::Value value(Json::arrayValue);
    value.append(encode(item.header));
    value.append(*item.body);
    return value;
}

VersionedItem decodeItem(const Json::Value &value)
{
    const Json::Value &fields = fieldsOf(value, 2);
    return {decodeHeader(fields[0]), std::make_shared<const std::string>(textOf(fields[1]))};
}

template<typename Element>
Json::Value encodeList(const std::vector<Element> &elements)
{
    Json::Value value(Json::arrayValue);
    for (const Element &element : elements)
        value.append(encode(element));
    return value;
}

Json::Value encode(const BucketDigest::Buckets &buckets)
{
    Json::Value value(Json::arrayValue);
    for (const std::uint64_t bucket : buckets)
        value.append(numberValue(bucket));
    return value;
}

BucketDigest::Buckets decodeBuckets(const Json::Value &value)
{
    const Json::Value &fields = fieldsOf(value, digestBuckets);
    BucketDigest::Buckets buckets{};
    for (Json::ArrayIndex index = 0; index < digestBuckets; ++index)
        buckets[index] = numberOf(fields[index]);
    return buckets;
}

void encodeNews(Json::Value &value, const GossipUpdate &news)
{
    if (!news.members.empty())
        value["members"] = encodeList(news.members);
    if (!news.items.empty())
        value["items"] = encodeList(news.items);
}

GossipUpdate decodeNews(const Json::Value &value)
{
    GossipUpdate news;
    if (value.isMember("members")) {
        for (const Json::Value &member : listOf(value["members"]))
            news.members.push_back(decodeMember(member));
    }
    if (value.isMember("items")) {
        for (const Json::Value &item : listOf(value["items"]))
            news.items.push_back(decodeHeader(item));
    }
    return news;
}

void encodeSummary(Json::Value &value, const Summary &summary)
{
    Json::Value holds(Json::arrayValue);
    holds.append(numberValue(summary.members));
    holds.append(numberValue(summary.items));
    if (summary.age && *summary.age <= maxSummaryAge)
        holds.append(numberValue(static_cast<std::uint64_t>(summary.age->count())));
    value["holds"] = holds;
}

Summary decodeSummary(const Json::Value &value)
{
    const Json::Value &holds = listOf(value["holds"]);
    require(holds.size() == 2 || holds.size() == 3);
    Summary summary{numberOf(holds[0]), numberOf(holds[1]), std::nullopt};
    if (holds.size() == 3) {
        const std::uint64_t age = numberOf(holds[2]);
        require(age <= static_cast<std::uint64_t>(maxSummaryAge.count()));
        summary.age = Duration{static_cast<Duration::rep>(age)};
    }
    return summary;
}

/** Encodes the fields of each kind of message. */
struct BodyEncoder
{
    Json::Value &value;

    void operator()(const Ping &ping) const
    {
        value["kind"] = "ping";
        value["sequence"] = numberValue(ping.sequence);
        encodeSummary(value, ping.summary);
        encodeNews(value, ping.news);
    }

    void operator()(const Ack &ack) const
    {
        value["kind"] = "ack";
        value["sequence"] = numberValue(ack.sequence);
        encodeSummary(value, ack.summary);
        encodeNews(value, ack.news);
    }

    void operator()(const GossipPush &push) const
    {
        value["kind"] = "news";
        encodeNews(value, push.news);
    }

    void operator()(const IndirectPing &ping) const
    {
        value["kind"] = "indirectPing";
        value["sequence"] = numberValue(ping.sequence);
        value["target"] = ping.target.value();
    }

    void operator()(const IndirectAck &ack) const
    {
        value["kind"] = "indirectAck";
        value["sequence"] = numberValue(ack.sequence);
        value["target"] = encode(ack.target);
    }

    void operator()(const Exchange &exchange) const
    {
        value["kind"] = "exchange";
        value["members"] = encode(exchange.members);
        value["items"] = encode(exchange.items);
    }

    void operator()(const Delta &delta) const
    {
        value["kind"] = "delta";
        encodeNews(value, delta.news);
    }

    void operator()(const Fetch &fetch) const
    {
        value["kind"] = "fetch";
        value["keys"] = encodeList(fetch.keys);
    }

    void operator()(const Items &items) const
    {
        value["kind"] = "items";
        value["items"] = encodeList(items.items);
    }
};

Fetch decodeFetch(const Json::Value &value)
{
    Fetch fetch;
    for (const Json::Value &key : listOf(value["keys"])) {
        const Json::Value &fields = fieldsOf(key, 2);
        fetch.keys.push_back(decodeKey(fields[0], fields[1]));
    }
    return fetch;
}

Items decodeItems(const Json::Value &value)
{
    Items items;
    for (const Json::Value &item : listOf(value["items"]))
        items.items.push_back(decodeItem(item));
    return items;
}

PeerMessage::Body decodeBody(const Json::Value &value)
{
    const std::string kind = textOf(value["kind"]);
    if (kind == "ping")
        return Ping{numberOf(value["sequence"]), decodeSummary(value), decodeNews(value)};
    if (kind == "ack")
        return Ack{numberOf(value["sequence"]), decodeSummary(value), decodeNews(value)};
    if (kind == "news")
        return GossipPush{decodeNews(value)};
    if (kind == "indirectPing")
        return IndirectPing{numberOf(value["sequence"]), HostName(textOf(value["target"]))};
    if (kind == "indirectAck")
        return IndirectAck{numberOf(value["sequence"]), decodeMember(value["target"])};
    if (kind == "exchange")
        return Exchange{decodeBuckets(value["members"]), decodeBuckets(value["items"])};
    if (kind == "delta")
        return Delta{decodeNews(value)};
    if (kind == "fetch")
        return decodeFetch(value);
    if (kind == "items")
        return decodeItems(value);
    throw DecodeFailure(PeerMessageError::UnknownKind);
}

Json::Value parse(std::string_view text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    const bool isParsed = reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    if (!isParsed || !value.isObject())
        throw DecodeFailure(PeerMessageError::NotJson);
    return value;
}

} // namespace

const std::error_category &peerMessageCategory()
{
    static const PeerMessageCategory category;
    return category;
}

std::error_code make_error_code(PeerMessageError error)
{
    return {static_cast<int>(error), peerMessageCategory()};
}

std::string encodePeerMessage(const PeerMessage &message)
{
    Json::Value value(Json::objectValue);
    value["from"] = encode(message.sender);
    std::visit(BodyEncoder{value}, message.body);

    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::error_code decodePeerMessage(std::string_view text, PeerMessage &message)
{
    try {
        const Json::Value value = parse(text);
        message.sender = decodeMember(value["from"]);
        message.body = decodeBody(value);
    } catch (const DecodeFailure &failure) {
        return failure.error();
    } catch (const Json::Exception &) {
        return PeerMessageError::NotJson;
    }
    return {};
}

} // namespace bulrush::io
