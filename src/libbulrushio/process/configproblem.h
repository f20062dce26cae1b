#pragma once

#include <string>
#include <system_error>
#include <vector>

namespace bulrush::io {

/** Reason why a settings file or a contract file cannot be used. */
enum class ConfigError {
    Unreadable = 1, ///< the file does not exist or cannot be read
    TooLarge,       ///< the file exceeds maxConfigBytes
    NotYaml,        ///< the text is not valid YAML
    Invalid,        ///< one or more fields are invalid
};

/** \returns the category of ConfigError. Thread safe. */
const std::error_category &configErrorCategory();

std::error_code make_error_code(ConfigError error);

/** Maximum size of a settings file or contract file. */
constexpr std::size_t maxConfigBytes = std::size_t{1} << 20;

/** A problem at a position in a file. */
struct ConfigProblem
{
    std::string file;
    /** Line number, from 1. */
    int line = 1;
    /** Path of the field, such as "leases.renewEvery"; empty if the problem concerns the file. */
    std::string field;
    std::string what;
    /** Description of the allowed values; may be empty. */
    std::string allowed;

    bool operator==(const ConfigProblem &) const = default;
};

using ConfigProblems = std::vector<ConfigProblem>;

/** \returns "FILE:LINE: FIELD: what is wrong; allowed: ...". Thread safe. */
std::string toString(const ConfigProblem &problem);

} // namespace bulrush::io

template<>
struct std::is_error_code_enum<bulrush::io::ConfigError> : std::true_type
{ };
