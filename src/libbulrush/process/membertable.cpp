#include "process/membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace bulrush {

namespace {

std::size_t bucketOf(const MemberRecord &record)
{
    const std::string &name = record.host.value();
    return BucketDigest::bucketOf(XXH3_64bits(name.data(), name.size()));
}

std::uint64_t hashOf(const MemberRecord &record)
{
    const std::array<std::uint64_t, 3> numbers{record.generation, record.counter,
                                               static_cast<std::uint64_t>(record.state)};
    const std::string names = record.host.value() + '\n' + record.incarnation.value();
    const std::uint64_t seed = XXH3_64bits(names.data(), names.size());
    return XXH3_64bits_withSeed(numbers.data(), sizeof(numbers), seed);
}

void toggleUnlessGone(BucketDigest &digest, const MemberRecord &record)
{
    if (record.state != MemberState::Gone)
        digest.toggle(bucketOf(record), hashOf(record));
}

bool isHostLess(const MemberRecord &record, const HostName &host)
{
    return record.host < host;
}

} // namespace

bool MemberTable::merge(const MemberRecord &record)
{
    const auto place = lowerBound(record.host);
    if (place == m_records.end() || place->host != record.host) {
        toggleUnlessGone(m_digest, record);
        m_records.insert(place, record);
        return true;
    }
    if (!supersedes(record, *place))
        return false;

    toggleUnlessGone(m_digest, *place);
    toggleUnlessGone(m_digest, record);
    *place = record;
    return true;
}

void MemberTable::remove(const HostName &host)
{
    const auto place = lowerBound(host);
    if (place == m_records.end() || place->host != host)
        return;

    toggleUnlessGone(m_digest, *place);
    m_records.erase(place);
}

const MemberRecord *MemberTable::find(const HostName &host) const
{
    const auto place = std::lower_bound(m_records.begin(), m_records.end(), host, isHostLess);
    const bool isFound = place != m_records.end() && place->host == host;
    return isFound ? &*place : nullptr;
}

std::vector<MemberRecord> MemberTable::differing(const BucketDigest::Buckets &theirs,
                                                 std::size_t limit, std::size_t offset) const
{
    std::vector<MemberRecord> result;
    for (const MemberRecord &record : m_records) {
        const std::size_t bucket = bucketOf(record);
        if (m_digest.buckets()[bucket] != theirs[bucket])
            result.push_back(record);
    }
    if (result.size() <= limit)
        return result;

    const auto first = static_cast<std::ptrdiff_t>(offset % result.size());
    std::rotate(result.begin(), result.begin() + first, result.end());
    result.resize(limit);
    return result;
}

std::vector<MemberRecord>::iterator MemberTable::lowerBound(const HostName &host)
{
    return std::lower_bound(m_records.begin(), m_records.end(), host, isHostLess);
}

} // namespace bulrush
