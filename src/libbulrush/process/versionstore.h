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
 * Result of offering an item to a store.
 */
enum class OfferOutcome {
    Applied,     /**< It was newer, or the first of its key, and is now stored. */
    Known,       /**< It is already stored. */
    Outdated,    /**< A newer version is stored and remains. */
    Conflicting, /**< The same version with another body is stored and remains. */
};

/**
 * The result of reading all contracts from the platform.
 */
struct PlatformListing
{
    /** When the read was requested, not when it was answered. */
    Instant requestedAt;
    std::vector<VersionedItem> items;
};

/**
 * Result of applying a platform read to a store.
 */
struct ListingOutcome
{
    std::vector<ItemHeader> applied;
    /** The platform answered from an old copy: a version that it had accepted is missing. */
    bool isOutdated = false;
};

/**
 * Numbers of offers that a store did not apply.
 */
struct VersionStoreCounters
{
    std::uint64_t outdatedOffers = 0;
    std::uint64_t conflictingOffers = 0;
    std::uint64_t outdatedListings = 0;
};

/**
 * The contracts and assignments in force at one daemon. A version is never replaced by an older
 * one, regardless of the sender.
 *
 * The store keeps the time at which it was last confirmed to be current: a new store is unconfirmed
 * until the platform was read, or until a confirmed peer holds the same items.
 *
 * Not thread safe.
 */
class VersionStore
{
public:
    /**
     * \pre \a startedAt is the start of the process: no earlier time can count as current.
     */
    explicit VersionStore(Instant startedAt);

    /**
     * Stores \a item if it is newer than the stored version of its key.
     */
    OfferOutcome offer(const VersionedItem &item);

    /**
     * Applies a read of all contracts. The store is current as of the request of the read if the
     * platform lacked nothing that is stored. Assignments are not compared, since
     * they are created before they are published on the platform.
     */
    ListingOutcome offerListing(const PlatformListing &listing);

    /**
     * Records that a peer held the same items as this store.
     * \param requestedAt when the request was sent to the peer
     * \param peerAge time since the peer's items were confirmed to be current
     */
    void confirmSameAsPeer(Instant requestedAt, Duration peerAge);

    /**
     * \returns whether \a header is newer than the stored version.
     */
    bool isNewer(const ItemHeader &header) const;

    /**
     * \returns the stored item of \a key, or null. Valid until the next change.
     */
    const VersionedItem *find(const ItemKey &key) const;

    /**
     * \returns all items, sorted by key. Valid until the next change.
     */
    std::span<const VersionedItem> items() const;

    const BucketDigest &digest() const;

    /**
     * \returns up to \a limit headers from the buckets in which \a theirs differs from this store,
     * starting at index \a offset.
     */
    std::vector<ItemHeader> differing(const BucketDigest::Buckets &theirs, std::size_t limit,
                                      std::size_t offset) const;

    /**
     * \returns the time as of which the contracts are confirmed to be current, or nothing if they
     * never were.
     */
    std::optional<Instant> currentAsOf() const;

    /**
     * \returns the time since the items were last confirmed to be current: since currentAsOf(), or
     * since the start of the process.
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
