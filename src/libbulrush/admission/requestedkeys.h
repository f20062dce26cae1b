#pragma once

#include "version/keyassignment.h"

#include <cstdint>
#include <vector>

namespace bulrush {

/** Keys that callers requested of one service, and the priorities of these requests. */
struct RequestedKeys
{
    std::vector<KeyPosition> keys;
    /** One for each key. */
    std::vector<std::uint32_t> priorities;

    void add(KeyPosition key, std::uint32_t priority);
};

inline void RequestedKeys::add(KeyPosition key, std::uint32_t priority)
{
    keys.push_back(key);
    priorities.push_back(priority);
}

} // namespace bulrush
