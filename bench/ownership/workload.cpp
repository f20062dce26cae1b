#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bulrush::bench {

namespace {

/**
 * Limits shares, given in descending order, to \a largest; spreads the excess over the others in
 * proportion.
 */
void capShares(std::vector<double> &shares, double largest)
{
    double rest = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (std::size_t capped = 0; capped < shares.size(); ++capped) {
        const double scale = (1.0 - largest * static_cast<double>(capped)) / rest;
        if (shares[capped] * scale <= largest) {
            for (std::size_t i = capped; i < shares.size(); ++i)
                shares[i] *= scale;
            return;
        }
        rest -= shares[capped];
        shares[capped] = largest;
    }
}

} // namespace

Workload::Workload(std::size_t keyCount, double exponent, double largestShare, std::uint64_t seed)
    : m_random(seed)
    , m_hashes(keyCount)
    , m_shareOfRank(keyCount)
    , m_positionOfRank(keyCount)
    , m_shares(keyCount)
{
    for (KeyHash &hash : m_hashes)
        hash = m_random();
    std::ranges::sort(m_hashes);

    double sum = 0;
    for (std::size_t rank = 0; rank < keyCount; ++rank)
        sum += m_shareOfRank[rank] = std::pow(static_cast<double>(rank + 1), -exponent);
    for (double &share : m_shareOfRank)
        share /= sum;
    capShares(m_shareOfRank, largestShare);

    std::iota(m_positionOfRank.begin(), m_positionOfRank.end(), 0u);
    std::ranges::shuffle(m_positionOfRank, m_random);
    buildDrawTable();
    sumUp();
}

void Workload::replaceHottest(std::size_t count)
{
    const std::size_t half = m_positionOfRank.size() / 2;
    for (std::size_t rank = 0; rank < count; ++rank) {
        const std::size_t other = half + m_random() % (m_positionOfRank.size() - half);
        std::swap(m_positionOfRank[rank], m_positionOfRank[other]);
    }
    sumUp();
}

KeyHash Workload::draw()
{
    const std::size_t slot = m_random() % m_keepChance.size();
    const double chance = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    const std::size_t rank = chance < m_keepChance[slot] ? slot : m_alias[slot];
    return m_hashes[m_positionOfRank[rank]];
}

double Workload::keyShare(SliceRange range) const
{
    const auto first = std::ranges::lower_bound(m_hashes, range.begin);
    const auto last = std::upper_bound(first, m_hashes.end(), range.end);
    return static_cast<double>(last - first) / static_cast<double>(m_hashes.size());
}

double Workload::trafficShare(SliceRange range) const
{
    const auto first = std::ranges::lower_bound(m_hashes, range.begin);
    const auto last = std::upper_bound(first, m_hashes.end(), range.end);
    return m_sums[static_cast<std::size_t>(last - m_hashes.begin())]
        - m_sums[static_cast<std::size_t>(first - m_hashes.begin())];
}

void Workload::sumUp()
{
    for (std::size_t rank = 0; rank < m_shareOfRank.size(); ++rank)
        m_shares[m_positionOfRank[rank]] = m_shareOfRank[rank];
    m_sums.assign(1, 0.0);
    m_sums.reserve(m_shares.size() + 1);
    for (double share : m_shares)
        m_sums.push_back(m_sums.back() + share);
}

void Workload::buildDrawTable()
{
    const std::size_t count = m_shareOfRank.size();
    m_keepChance.assign(count, 1.0);
    m_alias.assign(count, 0);
    std::vector<std::uint32_t> small;
    std::vector<std::uint32_t> large;
    std::vector<double> scaled(count);
    for (std::uint32_t rank = 0; rank < count; ++rank) {
        scaled[rank] = m_shareOfRank[rank] * static_cast<double>(count);
        (scaled[rank] < 1.0 ? small : large).push_back(rank);
    }
    while (!small.empty() && !large.empty()) {
        const std::uint32_t low = small.back();
        const std::uint32_t high = large.back();
        small.pop_back();
        m_keepChance[low] = scaled[low];
        m_alias[low] = high;
        scaled[high] -= 1.0 - scaled[low];
        if (scaled[high] < 1.0) {
            large.pop_back();
            small.push_back(high);
        }
    }
}

} // namespace bulrush::bench
