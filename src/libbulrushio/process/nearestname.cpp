#include "process/nearestname.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace bulrush::io {

namespace {

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/** \returns the Levenshtein distance of the two names, ignoring case. */
std::size_t editDistance(std::string_view first, std::string_view second)
{
    std::vector<std::size_t> row(second.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= first.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= second.size(); ++j) {
            const bool isSame = lowerCase(first[i - 1]) == lowerCase(second[j - 1]);
            const std::size_t changed = diagonal + (isSame ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({changed, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string_view nearestName(std::string_view name, std::span<const std::string> known)
{
    constexpr std::size_t maxNameLength = 64;
    if (name.size() > maxNameLength)
        return {};

    std::string_view nearest;
    std::size_t bestDistance = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string &candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace bulrush::io
