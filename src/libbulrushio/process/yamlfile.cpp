#include "process/yamlfile.h"

#include "process/configreport.h"

#include <fstream>

namespace bulrush::io {

namespace {

YamlDocument failed(ConfigError error, ConfigReport &report, const ConfigPosition &position,
                    std::string what)
{
    report.add(position, {}, std::move(what));
    return {make_error_code(error), {}};
}

} // namespace

FileText readTextFile(std::string_view path)
{
    std::ifstream file{std::string{path}, std::ios::binary};
    std::string text(maxConfigBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad())
        return {make_error_code(ConfigError::Unreadable), {}};

    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxConfigBytes)
        return {make_error_code(ConfigError::TooLarge), {}};
    return {{}, std::move(text)};
}

YamlDocument parseYaml(std::string_view text, const std::string &name, ConfigReport &report)
{
    report.recordPosition({}, {name, 1});
    if (text.size() > maxConfigBytes)
        return failed(ConfigError::TooLarge, report, {name, 1},
                      "is longer than " + std::to_string(maxConfigBytes) + " bytes");
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(std::string{text});
        if (documents.size() == 1)
            return {{}, documents.front()};
        return failed(ConfigError::NotYaml, report, {name, 1},
                      documents.empty() ? "is empty" : "holds more than one document");
    } catch (const YAML::Exception &exception) {
        return failed(ConfigError::NotYaml, report, {name, std::max(exception.mark.line + 1, 1)},
                      "is no YAML: " + exception.msg);
    }
}

YamlDocument readYamlFile(const std::string &path, ConfigReport &report)
{
    const FileText file = readTextFile(path);
    if (!file.error)
        return parseYaml(file.text, path, report);

    report.recordPosition({}, {path, 1});
    report.add({path, 1}, {}, file.error.message());
    return {file.error, {}};
}

} // namespace bulrush::io
