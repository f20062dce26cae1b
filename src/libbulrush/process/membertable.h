#pragma once

#include "process/bucketdigest.h"
#include "process/memberrecord.h"

#include <span>
#include <vector>

namespace bulrush {

/**
 * The daemons of the fleet, one record for each host. The result of merging records does not depend
 * on their order or on repetitions.
 *
 * Not thread safe.
 */
class MemberTable
{
public:
    /**
     * Stores \a record if it supersedes the one of its host.
     * \returns whether it was stored.
     */
    bool merge(const MemberRecord &record);

    /**
     * Removes a host. An unknown host is ignored.
     */
    void remove(const HostName &host);

    /**
     * \returns the record of \a host, or null. Valid until the next change.
     */
    const MemberRecord *find(const HostName &host) const;

    /**
     * \returns all records, sorted by host. Valid until the next change.
     */
    std::span<const MemberRecord> records() const;

    /**
     * \returns the digest of the members that are not gone, so that a table without a gone member
     * and one that still stores it have the same digest.
     */
    const BucketDigest &digest() const;

    /**
     * \returns up to \a limit records from the buckets in which \a theirs differs from this table,
     * starting at index \a offset, so that repeated calls can cover a large difference.
     */
    std::vector<MemberRecord> differing(const BucketDigest::Buckets &theirs, std::size_t limit,
                                        std::size_t offset) const;

private:
    std::vector<MemberRecord>::iterator lowerBound(const HostName &host);

    std::vector<MemberRecord> m_records;
    BucketDigest m_digest;
};

inline std::span<const MemberRecord> MemberTable::records() const
{
    return m_records;
}

inline const BucketDigest &MemberTable::digest() const
{
    return m_digest;
}

} // namespace bulrush
