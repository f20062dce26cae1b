#include "admission/keyshares.h"

#include <algorithm>
#include <utility>

namespace bulrush {

std::vector<KeyShares> withoutDetails(std::span<const KeyShares> shares)
{
    std::vector<KeyShares> result;
    for (const KeyShares &serviceShares : shares) {
        if (serviceShares.shares.empty())
            continue;
        KeyShares plain{serviceShares.service, {}};
        for (const KeyShare &share : serviceShares.shares)
            plain.shares.push_back({share.key, share.share});
        result.push_back(std::move(plain));
    }
    return result;
}

bool haveSharesByPriority(std::span<const KeyShares> shares)
{
    return std::ranges::any_of(shares,
                               [](const KeyShares &known) { return !known.priorities.empty(); });
}

} // namespace bulrush
