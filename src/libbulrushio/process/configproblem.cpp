#include "process/configproblem.h"

namespace bulrush::io {

namespace {

class ConfigErrorCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "bulrush.config";
    }

    std::string message(int value) const override
    {
        switch (static_cast<ConfigError>(value)) {
        case ConfigError::Unreadable:
            return "the file can't be read";
        case ConfigError::TooLarge:
            return "the file is too large";
        case ConfigError::NotYaml:
            return "the text is no YAML";
        case ConfigError::Invalid:
            return "fields are wrong";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &configErrorCategory()
{
    static const ConfigErrorCategory category;
    return category;
}

std::error_code make_error_code(ConfigError error)
{
    return {static_cast<int>(error), configErrorCategory()};
}

std::string toString(const ConfigProblem &problem)
{
    std::string line = problem.file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.field.empty())
        line += problem.field + ": ";
    line += problem.what;
    if (!problem.allowed.empty())
        line += "; allowed: " + problem.allowed;
    return line;
}

} // namespace bulrush::io
