#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bulrush {

/** Number of buckets of a set when two copies of it are compared. */
constexpr std::size_t digestBuckets = 32;

/**
 * A digest of a set, divided into buckets: comparing the digests of two copies shows which buckets
 * differ, without listing the elements. The cost of a change does not depend on the set's size.
 */
class BucketDigest
{
public:
    using Buckets = std::array<std::uint64_t, digestBuckets>;

    /**
     * \returns the bucket of an element with \a hashOfName.
     */
    static constexpr std::size_t bucketOf(std::uint64_t hashOfName);

    /**
     * Adds an element that is not in the set, or removes one that is in it.
     */
    constexpr void toggle(std::size_t bucket, std::uint64_t hashOfElement);

    constexpr const Buckets &buckets() const;

    /**
     * \returns a digest of the complete set.
     */
    constexpr std::uint64_t combined() const;

private:
    Buckets m_buckets{};
};

constexpr std::size_t BucketDigest::bucketOf(std::uint64_t hashOfName)
{
    return hashOfName % digestBuckets;
}

constexpr void BucketDigest::toggle(std::size_t bucket, std::uint64_t hashOfElement)
{
    m_buckets[bucket] ^= hashOfElement;
}

constexpr const BucketDigest::Buckets &BucketDigest::buckets() const
{
    return m_buckets;
}

constexpr std::uint64_t BucketDigest::combined() const
{
    std::uint64_t result = 0;
    for (const std::uint64_t bucket : m_buckets)
        result ^= bucket;
    return result;
}

} // namespace bulrush
