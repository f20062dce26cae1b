#pragma once

#include <string>
#include <string_view>

namespace bulrush::ctl {

/** The names of the two texts in the header of a diff. */
struct DiffNames
{
    std::string before;
    std::string after;
};

/**
 * \returns the unified diff of two texts with three lines of context around each change; empty if
 * they are equal. Thread safe.
 */
std::string lineDiff(std::string_view before, std::string_view after, const DiffNames &names);

} // namespace bulrush::ctl
