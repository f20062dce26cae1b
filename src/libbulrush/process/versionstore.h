#pragma once

#include "process/bucketdigest.h"
#include "process/clock.h"
#include "process/versioneditem.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/**
 * What became of an item that was offered to a store.
 */
enum class OfferOutcome {
    Applied,     /**< It was newer, or the first of its key, and is now held. */
    Known,       /**< It is held already. */
    Outdated,    /**< A newer one is held and stays. */
    Conflicting, /**< The same version with another body is held and stays. */
};

/**
 * A reading of all contracts from the platform.
 */
struct PlatformListing
{
    /** When the reading was asked for, not when it was answered. */
    Instant requestedAt;
    std::vector<VersionedItem> items;
};

/**
 * What a store took from a reading of the platform.
 */
struct ListingOutcome
{
    std::vector<ItemHeader> applied;
    /** The platform answered out of an old copy: it lacks something that it had accepted. */
    bool isOutdated = false;
};

/**
 * How often a store met something that it did not take.
 */
struct VersionStoreCounters
{
    std::uint64_t outdatedOffers = 0;
    std::uint64_t conflictingOffers = 0;
    std::uint64_t outdatedListings = 0;
};

/**
 * The contracts and assignments that are in force at one daemon. A version is never followed by an
 * older one, whoever offers it.
 *
 * The store knows since when it can't be sure to be current: a new store is sure of nothing until
 * the platform was read, or a peer that is sure holds the same.
 *
 * Not thread safe.
 */
class VersionStore
{
public:
    /**
     * \pre \a startedAt is the start of the process: nothing before it can count as current.
     */
    explicit VersionStore(Instant startedAt);

    /**
     * Takes \a item in if it is newer than what is held of its key.
     */
    OfferOutcome offer(const VersionedItem &item);

    /**
     * Takes a reading of all contracts in. The store is current as of its asking if the platform
     * lacked nothing that is held; assignments don't count, as they are made before they are
     * published.
     */
    ListingOutcome offerListing(const PlatformListing &listing);

    /**
     * Notes that a peer held the same set as this store.
     * \param requestedAt when the peer was asked; \param peerAge how old the peer's certainty was.
     */
    void confirmSameAsPeer(Instant requestedAt, Duration peerAge);

    /**
     * \returns whether \a header names something newer than what is held.
     */
    bool isNews(const ItemHeader &header) const;

    /**
     * \returns the item held of \a key, or null. Valid until the next change.
     */
    const VersionedItem *find(const ItemKey &key) const;

    /**
     * \returns all items, sorted by key. Valid until the next change.
     */
    std::span<const VersionedItem> items() const;

    const BucketDigest &digest() const;

    /**
     * \returns up to \a limit headers out of the parts in which \a theirs differs from this store,
     * starting at \a offset of them.
     */
    std::vector<ItemHeader> differing(const BucketDigest::Buckets &theirs, std::size_t limit,
                                      std::size_t offset) const;

    /**
     * \returns as of when the contracts are known to be current, or nothing if they never were.
     */
    std::optional<Instant> currentAsOf() const;

    /**
     * \returns for how long this daemon has been unable to be sure that it is current: since
     * currentAsOf(), or since its start.
     */
    Duration unconfirmedDuration(Instant now) const;

    const VersionStoreCounters &counters() const;

private:
    std::vector<VersionedItem>::iterator lowerBound(const ItemKey &key);
    bool lacksHeldContract(const PlatformListing &listing) const;
    void confirm(Instant instant);

    std::vector<VersionedItem> m_items;
    BucketDigest m_digest;
    Instant m_startedAt;
    std::optional<Instant> m_currentAsOf;
    VersionStoreCounters m_counters;
};

inline std::span<const VersionedItem> VersionStore::items() const
{
    return m_items;
}

inline const BucketDigest &VersionStore::digest() const
{
    return m_digest;
}

inline std::optional<Instant> VersionStore::currentAsOf() const
{
    return m_currentAsOf;
}

inline const VersionStoreCounters &VersionStore::counters() const
{
    return m_counters;
}

} // namespace bulrush
