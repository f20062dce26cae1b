#include "process/jsonreader.h"

#include "version/assignmentcodec.h"

#include <json/reader.h>
#include <json/writer.h>

#include <array>
#include <memory>

namespace bulrush::io {

namespace {

const Json::Value &emptyValueOf(Json::ValueType type)
{
    static const Json::Value emptyList{Json::arrayValue};
    static const Json::Value emptyObject{Json::objectValue};
    static const Json::Value emptyText{""};
    if (type == Json::arrayValue)
        return emptyList;
    return type == Json::objectValue ? emptyObject : emptyText;
}

/** \returns the length in bytes of the first UTF-8 sequence of \a text, or 0 if it is invalid. */
std::size_t utf8SequenceLength(std::string_view text)
{
    struct SequenceForm
    {
        unsigned lead;
        unsigned leadMask;
        char32_t minimum;
    };
    constexpr std::array<SequenceForm, 4> sequenceForms = {SequenceForm{0x00, 0x80, 0},
                                                           {0xc0, 0xe0, 0x80},
                                                           {0xe0, 0xf0, 0x800},
                                                           {0xf0, 0xf8, 0x10000}};
    constexpr char32_t maxCodePoint = 0x10ffff;
    constexpr char32_t firstSurrogate = 0xd800;
    constexpr char32_t lastSurrogate = 0xdfff;
    const auto byteAt = [text](std::size_t index) {
        return static_cast<unsigned>(static_cast<unsigned char>(text[index]));
    };
    for (std::size_t i = 0; i < sequenceForms.size(); ++i) {
        const SequenceForm &form = sequenceForms.at(i);
        if ((byteAt(0) & form.leadMask) != form.lead)
            continue;
        if (text.size() <= i)
            return 0;
        char32_t codePoint = byteAt(0) & ~form.leadMask;
        for (std::size_t j = 1; j <= i; ++j) {
            if ((byteAt(j) & 0xc0U) != 0x80U)
                return 0;
            codePoint = (codePoint << 6U) | (byteAt(j) & 0x3fU);
        }
        const bool isSurrogate = codePoint >= firstSurrogate && codePoint <= lastSurrogate;
        const bool isAllowed =
            codePoint >= form.minimum && codePoint <= maxCodePoint && !isSurrogate;
        return isAllowed ? i + 1 : 0;
    }
    return 0;
}

/** \returns whether \a text is valid UTF-8. Overlong forms and surrogates are rejected. */
bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = utf8SequenceLength(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

} // namespace

JsonReader::JsonReader(const Json::Value &json)
    : m_json(json)
    , m_isValid(json.isObject())
{ }

std::string JsonReader::text(const char *name)
{
    return member(name, Json::stringValue).asString();
}

std::uint64_t JsonReader::number(const char *name)
{
    if (!m_json.isObject() || !m_json[name].isUInt64()) {
        m_isValid = false;
        return 0;
    }
    return m_json[name].asUInt64();
}

bool JsonReader::flag(const char *name)
{
    if (!m_json.isObject() || !m_json[name].isBool()) {
        m_isValid = false;
        return false;
    }
    return m_json[name].asBool();
}

Duration JsonReader::span(const char *name)
{
    if (!m_json.isObject() || !m_json[name].isInt64()) {
        m_isValid = false;
        return {};
    }
    return Duration{m_json[name].asInt64()};
}

Fence JsonReader::fence(const char *name)
{
    const auto fence = m_json.isObject() ? decodeFence(m_json[name]) : std::nullopt;
    if (!fence)
        m_isValid = false;
    return fence.value_or(Fence{});
}

const Json::Value &JsonReader::list(const char *name)
{
    return member(name, Json::arrayValue);
}

const Json::Value &JsonReader::object(const char *name)
{
    return member(name, Json::objectValue);
}

const Json::Value &JsonReader::member(const char *name, Json::ValueType type)
{
    if (m_json.isObject() && m_json[name].type() == type)
        return m_json[name];

    m_isValid = false;
    return emptyValueOf(type);
}

Json::Value jsonOf(Duration span)
{
    return Json::Value{Json::Int64{span.count()}};
}

Json::Value jsonOf(std::uint64_t number)
{
    return Json::Value{Json::UInt64{number}};
}

bool isTrue(const Json::Value &json, const char *name)
{
    return json.isObject() && json[name].isBool() && json[name].asBool();
}

std::string toCompactJson(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

Json::Value parseJson(const std::string &text)
{
    if (!isUtf8(text))
        return {};
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    Json::Value json;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &json, nullptr))
            return {};
    } catch (const Json::Exception &) {
        return {}; // nesting exceeds the limit of the parser
    }
    return json;
}

} // namespace bulrush::io
