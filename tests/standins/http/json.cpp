#include "http/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <exception>
#include <memory>

namespace bulrush::standins {

std::optional<Json::Value> parsedJsonObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["failIfExtra"] = true;
    builder["rejectDupKeys"] = true;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};

    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
            return std::nullopt;
    } catch (const std::exception &) {
        // JsonCpp throws if values are nested too deeply.
        return std::nullopt;
    }

    if (!value.isObject())
        return std::nullopt;

    return value;
}

std::string toJsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace bulrush::standins
