#include "process/yamlfields.h"

#include "process/nearestname.h"

#include <algorithm>

namespace bulrush::io {

namespace {

ConfigPosition positionIn(const std::string &file, const YAML::Node &node)
{
    return {file, std::max(node.Mark().line + 1, 1)};
}

std::string indexedPath(const std::string &path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

/** \returns \a text truncated to 60 bytes, with control characters replaced by question marks. */
std::string printable(std::string_view text)
{
    constexpr std::size_t maxLength = 60;
    std::string safe{text.substr(0, maxLength)};
    std::ranges::replace_if(
        safe, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    return text.size() > maxLength ? safe + "…" : safe;
}

} // namespace

YamlFields::YamlFields(ConfigReport &report, std::string path, ConfigPosition position)
    : m_report(&report)
    , m_path(std::move(path))
    , m_position(std::move(position))
{
    m_report->recordPosition(m_path, m_position);
}

bool YamlFields::merge(const YAML::Node &node, const std::string &file)
{
    if (!node.IsMap()) {
        m_report->add(positionIn(file, node), m_path, "holds no fields", "a mapping of fields");
        return false;
    }
    for (const auto &entry : node) {
        const ConfigPosition position = positionIn(file, entry.first);
        if (!entry.first.IsScalar()) {
            m_report->add(position, m_path, "the name of a field is not a word", "plain names");
            continue;
        }
        const std::string &name = entry.first.Scalar();
        if (const Field *first = find(name)) {
            m_report->add(position, pathOf(name),
                          "is given twice, first at " + first->position.file + ":"
                              + std::to_string(first->position.line),
                          "each field once");
            continue;
        }
        m_report->recordPosition(pathOf(name), position);
        m_fields.push_back({name, entry.second, position});
    }
    return true;
}

bool YamlFields::has(std::string_view name) const
{
    return find(name) != nullptr;
}

ConfigPosition YamlFields::positionOf(std::string_view name) const
{
    const Field *field = find(name);
    return field ? field->position : m_position;
}

std::string YamlFields::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string{name} : m_path + "." + std::string{name};
}

std::optional<YamlFields> YamlFields::mapping(std::string_view name, Presence presence)
{
    const Field *field = lookUp(name, presence, "a mapping of fields");
    if (!field)
        return std::nullopt;
    return child(field->node, field->position, pathOf(name));
}

std::vector<YamlFields> YamlFields::mappings(std::string_view name, std::size_t maxCount,
                                             Presence presence)
{
    const std::string allowed = "a list of 1 to " + std::to_string(maxCount) + " mappings";
    const Field *field = lookUp(name, presence, allowed);
    if (!field)
        return {};
    if (!field->node.IsSequence() || field->node.size() == 0 || field->node.size() > maxCount) {
        reportProblem(name, "is no list of that kind or length", allowed);
        return {};
    }

    std::vector<YamlFields> children;
    std::size_t index = 0;
    for (const YAML::Node &node : field->node) {
        const ConfigPosition position = positionIn(field->position.file, node);
        if (auto fields = child(node, position, indexedPath(pathOf(name), index)))
            children.push_back(std::move(*fields));
        ++index;
    }
    return children;
}

void YamlFields::reportProblem(std::string_view name, std::string what, std::string allowed)
{
    m_report->add(positionOf(name), pathOf(name), std::move(what), std::move(allowed));
}

void YamlFields::finish()
{
    for (const Field &field : m_fields) {
        if (std::ranges::find(m_knownNames, field.name) != m_knownNames.end())
            continue;

        const std::string_view nearest = nearestName(field.name, m_knownNames);
        std::string what = "there is no such field";
        if (!nearest.empty())
            what += ", is \"" + std::string{nearest} + "\" meant?";
        std::string allowed;
        for (const std::string &known : m_knownNames)
            allowed += (allowed.empty() ? "" : ", ") + known;
        m_report->add(field.position, pathOf(printable(field.name)), what, allowed);
    }
}

const YamlFields::Field *YamlFields::find(std::string_view name) const
{
    const auto found = std::ranges::find(m_fields, name, &Field::name);
    return found == m_fields.end() ? nullptr : &*found;
}

const YamlFields::Field *YamlFields::lookUp(std::string_view name, Presence presence,
                                            std::string_view allowed)
{
    m_knownNames.emplace_back(name);
    const Field *field = find(name);
    if (!field && presence == Presence::Required)
        reportProblem(name, "is missing", std::string{allowed});
    if (!field)
        return nullptr;
    if (field->node.IsNull()) {
        reportProblem(name, "is empty", std::string{allowed});
        return nullptr;
    }
    return field;
}

std::optional<YamlFields::Scalar> YamlFields::scalarOf(const YAML::Node &node,
                                                       const std::string &file, std::string path,
                                                       std::string_view allowed)
{
    ConfigPosition position = positionIn(file, node);
    if (!node.IsScalar()) {
        m_report->add(position, std::move(path), "is not a single value", std::string{allowed});
        return std::nullopt;
    }
    return Scalar{std::move(path), node.Scalar(), std::move(position)};
}

std::vector<YamlFields::Scalar> YamlFields::scalarsOf(std::string_view name, Presence presence,
                                                      std::string_view allowed)
{
    const std::string allowedList = "a list, each of it " + std::string{allowed};
    const Field *field = lookUp(name, presence, allowedList);
    if (!field)
        return {};
    if (!field->node.IsSequence() || field->node.size() == 0) {
        reportProblem(name, "is no list, or an empty one", allowedList);
        return {};
    }

    std::vector<Scalar> scalars;
    for (std::size_t i = 0; i < field->node.size(); ++i) {
        const YAML::Node node = field->node[i];
        if (auto scalar =
                scalarOf(node, field->position.file, indexedPath(pathOf(name), i), allowed)) {
            m_report->recordPosition(scalar->path, scalar->position);
            scalars.push_back(std::move(*scalar));
        }
    }
    return scalars;
}

void YamlFields::reportInvalid(const Scalar &scalar, std::string_view allowed)
{
    m_report->add(scalar.position, scalar.path, "\"" + printable(scalar.text) + "\" is not allowed",
                  std::string{allowed});
}

std::optional<YamlFields> YamlFields::child(const YAML::Node &node, const ConfigPosition &position,
                                            std::string path) const
{
    YamlFields fields{*m_report, std::move(path), position};
    if (!fields.merge(node, position.file))
        return std::nullopt;
    return fields;
}

} // namespace bulrush::io
