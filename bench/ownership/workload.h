#pragma once

#include "version/slice.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace bulrush::bench {

/**
 * Keys of one service and their request rates: Zipf by rank, with the hottest keys
 * replaced at each shift. Keys are held in the order of their hashes.
 */
class Workload
{
public:
    /**
     * Rates are shares of all traffic. If \a largestShare is below 1, no key has more than it;
     * the excess is spread over the others.
     */
    Workload(std::size_t keyCount, double exponent, double largestShare, std::uint64_t seed);

    /** Swaps the hottest \a count keys with others drawn from the colder half. */
    void replaceHottest(std::size_t count);

    /** Draws the hash of the key of one request. */
    KeyHash draw();

    std::span<const KeyHash> hashes() const
    {
        return m_hashes;
    }
    /** \returns the share of traffic of each key, in the order of hashes. */
    std::span<const double> shares() const
    {
        return m_shares;
    }
    /** \returns the share of the hottest key. */
    double hottestShare() const
    {
        return m_shareOfRank.front();
    }

    /** \returns the share of all keys that are in \a range. */
    double keyShare(SliceRange range) const;
    /** \returns the share of traffic for keys in \a range. */
    double trafficShare(SliceRange range) const;

private:
    void sumUp();
    void buildDrawTable();

    std::mt19937_64 m_random;
    std::vector<KeyHash> m_hashes;
    std::vector<double> m_shareOfRank;
    /** Position among the hashes of the key of each rank. */
    std::vector<std::uint32_t> m_positionOfRank;
    std::vector<double> m_shares;
    /** Sums of the shares before each position. */
    std::vector<double> m_sums;
    /** Alias tables for drawing a rank. */
    std::vector<double> m_keepChance;
    std::vector<std::uint32_t> m_alias;
};

} // namespace bulrush::bench
