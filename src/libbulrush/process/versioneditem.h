#pragma once

#include "version/fence.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace bulrush {

/** Kinds of items that are distributed by gossip. */
enum class ItemKind { Contract, Assignment };

/**
 * Identifies an item: the contract of an organisation, or the assignment of a failure domain.
 */
struct ItemKey
{
    ItemKind kind = ItemKind::Contract;
    std::string name;

    auto operator<=>(const ItemKey &) const = default;
};

/**
 * Identifies one version of an item, without its body.
 */
struct ItemHeader
{
    ItemKey key;
    /** Of a contract: epoch 0 and its row's version. Of an assignment: its own version. */
    Fence version;
    /** XXH3 of the body, so that different bodies of one version are detected. */
    std::uint64_t bodyHash = 0;

    bool operator==(const ItemHeader &) const = default;
};

/**
 * One version of an item. Its body is immutable and therefore shared.
 */
struct VersionedItem
{
    ItemHeader header;
    std::shared_ptr<const std::string> body;
};

/**
 * \returns an item with the hash of \a body.
 */
VersionedItem makeItem(ItemKey key, Fence version, std::string body);

} // namespace bulrush
