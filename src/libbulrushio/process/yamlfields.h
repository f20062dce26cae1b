#pragma once

#include "process/configreport.h"
#include "process/scalartype.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::io {

/** Whether a field must be present. */
enum class Presence { Required, Optional };

/**
 * Reads the fields of one YAML mapping, each once, by name and type. A field that is missing, of
 * another type or not allowed is added to the report with its file and line, and reading
 * continues. finish() reports the fields that were not read.
 *
 * Not thread safe.
 */
class YamlFields
{
public:
    /** Creates an empty mapping at \a path, to be filled by merge(). */
    YamlFields(ConfigReport &report, std::string path, ConfigPosition position);

    /**
     * Adds the fields of \a node, which was read from \a file. Reports each field that is already
     * present. \returns false, and reports it, if \a node is not a mapping.
     */
    bool merge(const YAML::Node &node, const std::string &file);

    /** \returns whether the field is present, without marking it as read. */
    bool has(std::string_view name) const;

    /** \returns the position of the field \a name, or of the mapping if there is no such field. */
    ConfigPosition positionOf(std::string_view name) const;

    /** \returns the full path of the field \a name, such as "leases.promise". */
    std::string pathOf(std::string_view name) const;

    /**
     * Reads the field \a name into \a target, which is left unchanged if the field is missing or
     * invalid. \returns whether \a target was set.
     */
    template<typename T, typename Target>
    bool read(std::string_view name, const ScalarType<T> &type, Target &target, Presence presence);

    /** Reads a list of values of one type. Invalid values are reported and skipped. */
    template<typename T>
    void readList(std::string_view name, const ScalarType<T> &type, std::vector<T> &target,
                  Presence presence);

    /** \returns the mapping in the field \a name, or nothing. The caller must call its finish(). */
    std::optional<YamlFields> mapping(std::string_view name, Presence presence);

    /** \returns the mappings in the list \a name, of which at most \a maxCount are allowed. */
    std::vector<YamlFields> mappings(std::string_view name, std::size_t maxCount,
                                     Presence presence);

    /** Adds a problem of the field \a name to the report. */
    void reportProblem(std::string_view name, std::string what, std::string allowed = {});

    /** Reports each field that was not read, with the most similar known name. */
    void finish();

private:
    struct Field
    {
        std::string name;
        YAML::Node node;
        ConfigPosition position;
    };

    /** A scalar element of a list, or the scalar value of a field. */
    struct Scalar
    {
        std::string path;
        std::string text;
        ConfigPosition position;
    };

    const Field *find(std::string_view name) const;
    /** Adds \a name to the known names. Reports a field that is empty, or missing but required. */
    const Field *lookUp(std::string_view name, Presence presence, std::string_view allowed);
    std::optional<Scalar> scalarOf(const YAML::Node &node, const std::string &file,
                                   std::string path, std::string_view allowed);
    std::vector<Scalar> scalarsOf(std::string_view name, Presence presence,
                                  std::string_view allowed);
    void reportInvalid(const Scalar &scalar, std::string_view allowed);
    std::optional<YamlFields> child(const YAML::Node &node, const ConfigPosition &position,
                                    std::string path) const;

    template<typename T>
    std::optional<T> parse(const Scalar &scalar, const ScalarType<T> &type);

    ConfigReport *m_report;
    std::string m_path;
    ConfigPosition m_position;
    std::vector<Field> m_fields;
    std::vector<std::string> m_knownNames;
};

template<typename T, typename Target>
bool YamlFields::read(std::string_view name, const ScalarType<T> &type, Target &target,
                      Presence presence)
{
    const Field *field = lookUp(name, presence, type.allowed);
    if (!field)
        return false;
    const auto scalar = scalarOf(field->node, field->position.file, pathOf(name), type.allowed);
    if (!scalar)
        return false;
    const auto value = parse(*scalar, type);
    if (!value)
        return false;
    target = static_cast<Target>(*value);
    return true;
}

template<typename T>
void YamlFields::readList(std::string_view name, const ScalarType<T> &type, std::vector<T> &target,
                          Presence presence)
{
    for (const Scalar &scalar : scalarsOf(name, presence, type.allowed)) {
        if (auto value = parse(scalar, type))
            target.push_back(std::move(*value));
    }
}

template<typename T>
std::optional<T> YamlFields::parse(const Scalar &scalar, const ScalarType<T> &type)
{
    auto value = type.parse(scalar.text);
    if (!value)
        reportInvalid(scalar, type.allowed);
    return value;
}

} // namespace bulrush::io
