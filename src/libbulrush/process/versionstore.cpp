#include "process/versionstore.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>

namespace bulrush {

namespace {

std::uint64_t hashOf(const ItemKey &key)
{
    const auto seed = static_cast<std::uint64_t>(key.kind);
    return XXH3_64bits_withSeed(key.name.data(), key.name.size(), seed);
}

std::uint64_t hashOf(const ItemHeader &header)
{
    const std::array<std::uint64_t, 3> numbers{header.version.epoch, header.version.sequence,
                                               header.bodyHash};
    return XXH3_64bits_withSeed(numbers.data(), sizeof(numbers), hashOf(header.key));
}

std::size_t bucketOf(const ItemHeader &header)
{
    return BucketDigest::bucketOf(hashOf(header.key));
}

bool isKeyLess(const VersionedItem &item, const ItemKey &key)
{
    return item.header.key < key;
}

} // namespace

VersionStore::VersionStore(Instant startedAt)
    : m_startedAt(startedAt)
{ }

OfferOutcome VersionStore::offer(const VersionedItem &item)
{
    const ItemHeader &offered = item.header;
    const std::size_t bucket = bucketOf(offered);
    const auto place = lowerBound(offered.key);
    if (place == m_items.end() || place->header.key != offered.key) {
        m_digest.toggle(bucket, hashOf(offered));
        m_items.insert(place, item);
        return OfferOutcome::Applied;
    }

    const ItemHeader &held = place->header;
    if (held == offered)
        return OfferOutcome::Known;
    if (held.version > offered.version) {
        ++m_counters.outdatedOffers;
        return OfferOutcome::Outdated;
    }
    if (held.version == offered.version) {
        ++m_counters.conflictingOffers;
        return OfferOutcome::Conflicting;
    }
    m_digest.toggle(bucket, hashOf(held));
    m_digest.toggle(bucket, hashOf(offered));
    *place = item;
    return OfferOutcome::Applied;
}

ListingOutcome VersionStore::offerListing(const PlatformListing &listing)
{
    ListingOutcome outcome;
    outcome.isOutdated = lacksHeldContract(listing);
    bool hasConflict = false;
    for (const VersionedItem &item : listing.items) {
        const OfferOutcome offered = offer(item);
        if (offered == OfferOutcome::Applied)
            outcome.applied.push_back(item.header);
        hasConflict = hasConflict || offered == OfferOutcome::Conflicting;
    }
    if (outcome.isOutdated)
        ++m_counters.outdatedListings;
    else if (!hasConflict)
        confirm(listing.requestedAt);
    return outcome;
}

void VersionStore::confirmSameAsPeer(Instant requestedAt, Duration peerAge)
{
    confirm(requestedAt - stretched(peerAge, defaultDriftPpm));
}

bool VersionStore::isNewer(const ItemHeader &header) const
{
    const VersionedItem *held = find(header.key);
    return !held || held->header.version < header.version;
}

const VersionedItem *VersionStore::find(const ItemKey &key) const
{
    const auto place = std::lower_bound(m_items.begin(), m_items.end(), key, isKeyLess);
    const bool isFound = place != m_items.end() && place->header.key == key;
    return isFound ? &*place : nullptr;
}

std::vector<ItemHeader> VersionStore::differing(const BucketDigest::Buckets &theirs,
                                                std::size_t limit, std::size_t offset) const
{
    std::vector<ItemHeader> result;
    for (const VersionedItem &item : m_items) {
        const std::size_t bucket = bucketOf(item.header);
        if (m_digest.buckets()[bucket] != theirs[bucket])
            result.push_back(item.header);
    }
    if (result.size() <= limit)
        return result;

    const auto first = static_cast<std::ptrdiff_t>(offset % result.size());
    std::rotate(result.begin(), result.begin() + first, result.end());
    result.resize(limit);
    return result;
}

Duration VersionStore::unconfirmedDuration(Instant now) const
{
    return now - m_currentAsOf.value_or(m_startedAt);
}

std::vector<VersionedItem>::iterator VersionStore::lowerBound(const ItemKey &key)
{
    return std::lower_bound(m_items.begin(), m_items.end(), key, isKeyLess);
}

bool VersionStore::lacksHeldContract(const PlatformListing &listing) const
{
    // Contracts are withdrawn by a version that states this, never deleted, so that a missing row
    // indicates an old copy.
    std::map<ItemKey, Fence> listed;
    for (const VersionedItem &item : listing.items)
        listed.emplace(item.header.key, item.header.version);

    return std::ranges::any_of(m_items, [&](const VersionedItem &held) {
        const auto found = listed.find(held.header.key);
        const bool isContract = held.header.key.kind == ItemKind::Contract;
        return isContract && (found == listed.end() || found->second < held.header.version);
    });
}

void VersionStore::confirm(Instant instant)
{
    if (!m_currentAsOf || *m_currentAsOf < instant)
        m_currentAsOf = instant;
}

} // namespace bulrush
