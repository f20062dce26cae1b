#pragma once

#include "process/storeversion.h"

#include <cstdint>
#include <ostream>

namespace bulrush {

inline std::ostream &operator<<(std::ostream &out, const StoreVersion &version)
{
    return out << toString(version);
}

namespace test {

/** \returns the version \a number of a store that was never restored. */
inline StoreVersion versionAt(std::uint64_t number)
{
    return {0, number};
}

} // namespace test
} // namespace bulrush
