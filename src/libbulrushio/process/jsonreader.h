#pragma once

#include "process/clock.h"
#include "version/fence.h"

#include <json/value.h>

#include <cstdint>
#include <string>

namespace bulrush::io {

/**
 * Reads the members of a JSON object by type. A member that is missing or of another type reads as
 * empty and marks the reader as failed, so that a complete message is read first and validated
 * once at the end.
 *
 * Not thread safe.
 */
class JsonReader
{
public:
    /** \pre \a json outlives this object. */
    explicit JsonReader(const Json::Value &json);

    std::string text(const char *name);
    std::uint64_t number(const char *name);
    bool flag(const char *name);
    /** Reads a duration that jsonOf() wrote, in nanoseconds. */
    Duration span(const char *name);
    Fence fence(const char *name);
    /** \returns the array \a name, or an empty one. The reference is valid as long as the JSON. */
    const Json::Value &list(const char *name);
    /** \returns the object \a name, or an empty one. The reference is valid as long as the JSON. */
    const Json::Value &object(const char *name);

    /** Marks the message as invalid because of an error that the caller detected. */
    void fail();

    /** \returns whether all members read so far were present and valid. */
    bool isValid() const;

private:
    const Json::Value &member(const char *name, Json::ValueType type);

    const Json::Value &m_json;
    bool m_isValid = true;
};

/** \returns \a span as an integer number of nanoseconds. */
Json::Value jsonOf(Duration span);

/** \returns \a number as JSON. */
Json::Value jsonOf(std::uint64_t number);

/** \returns whether \a json is an object whose member \a name is the boolean true. */
bool isTrue(const Json::Value &json, const char *name);

/** \returns \a json serialized on one line, without indentation. */
std::string toCompactJson(const Json::Value &json);

/** \returns the JSON parsed from \a text, or null if it is not valid JSON or not valid UTF-8. */
Json::Value parseJson(const std::string &text);

inline void JsonReader::fail()
{
    m_isValid = false;
}

inline bool JsonReader::isValid() const
{
    return m_isValid;
}

} // namespace bulrush::io
