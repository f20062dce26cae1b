#include "jsontext.h"

#include <json/writer.h>

namespace bulrush::ctl {

std::string indentedText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value) + "\n";
}

std::string stringIn(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object[name].isString())
        return {};
    return object[name].asString();
}

std::uint64_t numberIn(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object[name].isUInt64())
        return 0;
    return object[name].asUInt64();
}

const Json::Value &arrayIn(const Json::Value &object, const char *name)
{
    static const Json::Value none{Json::arrayValue};
    if (!object.isObject() || !object[name].isArray())
        return none;
    return object[name];
}

} // namespace bulrush::ctl
