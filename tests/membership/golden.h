#pragma once

#include <string>
#include <string_view>

namespace bulrush::test {

/**
 * Compares \a actual with the file \a name under tests/golden/. If BULRUSH_UPDATE_GOLDEN is set,
 * the file is rewritten first.
 * \returns an empty string if they are equal, otherwise a description of the first difference.
 */
std::string differenceFromGolden(std::string_view name, std::string_view actual);

} // namespace bulrush::test
