#pragma once

#include <string>

namespace bulrush::test {

/**
 * \returns the content of the committed golden file \a path, or an empty text if there is none.
 * With BULRUSH_UPDATE_GOLDEN=1 in the environment, \a actual is written to it first.
 */
std::string goldenText(const std::string &path, const std::string &actual);

} // namespace bulrush::test
