#include "process/versioneditem.h"

#include <xxhash.h>

namespace bulrush {

VersionedItem makeItem(ItemKey key, Fence version, std::string body)
{
    const std::uint64_t hash = XXH3_64bits(body.data(), body.size());
    return {{std::move(key), version, hash}, std::make_shared<const std::string>(std::move(body))};
}

} // namespace bulrush
