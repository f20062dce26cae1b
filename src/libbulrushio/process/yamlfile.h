#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <string_view>
#include <system_error>

namespace bulrush::io {

class ConfigReport;

/** Content of a file. \a text is valid only if \a error is clear. */
struct FileText
{
    std::error_code error;
    std::string text;
};

/** Reads the complete file at \a path; fails if it exceeds maxConfigBytes. Thread safe. */
FileText readTextFile(std::string_view path);

/** The single document of a YAML text. \a root is valid only if \a error is clear. */
struct YamlDocument
{
    std::error_code error;
    YAML::Node root;
};

/**
 * Parses \a text. Reports text that is not YAML, or that does not hold exactly one document, to
 * \a report, with \a name as the file name. Does not throw if the text is invalid.
 */
YamlDocument parseYaml(std::string_view text, const std::string &name, ConfigReport &report);

/** Reads and parses the file at \a path. Adds problems to \a report. */
YamlDocument readYamlFile(const std::string &path, ConfigReport &report);

} // namespace bulrush::io
