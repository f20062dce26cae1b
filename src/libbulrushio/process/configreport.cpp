#include "process/configreport.h"

#include <algorithm>
#include <tuple>

namespace bulrush::io {

void ConfigReport::add(const ConfigPosition &position, std::string field, std::string what,
                       std::string allowed)
{
    m_problems.push_back(
        {position.file, position.line, std::move(field), std::move(what), std::move(allowed)});
}

void ConfigReport::recordPosition(const std::string &field, const ConfigPosition &position)
{
    m_positions.emplace(field, position);
    if (std::ranges::find(m_files, position.file) == m_files.end())
        m_files.push_back(position.file);
}

void ConfigReport::addFieldProblems(const FieldProblems &problems)
{
    for (const FieldProblem &problem : problems)
        add(positionOf(problem.field), problem.field, problem.what, problem.allowed);
}

ConfigProblems ConfigReport::sorted() const
{
    ConfigProblems problems = m_problems;
    std::ranges::stable_sort(problems, [this](const ConfigProblem &a, const ConfigProblem &b) {
        return std::tuple{readingOrderOf(a.file), a.line}
        < std::tuple{readingOrderOf(b.file), b.line};
    });
    return problems;
}

ConfigPosition ConfigReport::positionOf(std::string field) const
{
    while (true) {
        const auto found = m_positions.find(field);
        if (found != m_positions.end())
            return found->second;
        if (field.empty())
            return {};
        const std::size_t end = field.find_last_of(".[");
        field.resize(end == std::string::npos ? 0 : end);
    }
}

std::size_t ConfigReport::readingOrderOf(const std::string &file) const
{
    return std::ranges::find(m_files, file) - m_files.begin();
}

} // namespace bulrush::io
