#pragma once

#include "request/claim.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace bulrush {

/** Identifies one claim's write within a batcher. */
using ClaimWriteId = std::uint64_t;
/** Identifies one transaction of a batcher; the caller makes the platform's request id from it. */
using ClaimBatchId = std::uint64_t;

/** A claim's write with the key of its row. */
struct KeyedClaimWrite
{
    ClaimWriteId id = 0;
    /** organisation/idempotency key */
    std::string key;
    WriteClaim write;

    bool operator==(const KeyedClaimWrite &) const = default;
};

/** Send these writes as one transaction. */
struct SendClaimBatch
{
    ClaimBatchId id;
    std::vector<KeyedClaimWrite> writes;

    bool operator==(const SendClaimBatch &) const = default;
};

/** Pass this event to the claim that requested the write. */
struct ClaimWriteResult
{
    ClaimWriteId id;
    ClaimEvent event;
};

using ClaimBatchAction = std::variant<SendClaimBatch, ClaimWriteResult>;
using ClaimBatchActions = std::vector<ClaimBatchAction>;

/** A row that prevented a transaction from taking effect. */
struct ClaimConflict
{
    std::string key;
    VersionedClaim current;
};

/** Limits of the batches. */
struct ClaimBatchLimits
{
    /** Maximum time for which the first write waits for others. */
    Duration window = std::chrono::milliseconds{2};
    std::size_t batchLimit = 50;
    std::size_t openBatchLimit = 8;
    /** Maximum number of waiting writes; writes beyond it are answered as not sent. */
    std::size_t waitingLimit = 1000;
};

/**
 * Combines the claims of a few milliseconds into one transaction of the platform, which handles
 * several hundred writes per second. A transaction fails completely on a single conflict: the
 * writes in conflict are answered as such, and the others, which had no effect, are resent at once
 * without them.
 *
 * Not thread safe.
 */
class ClaimBatcher
{
public:
    explicit ClaimBatcher(ClaimBatchLimits limits = {});

    /** Adds a write. \pre The id is new. */
    ClaimBatchActions add(KeyedClaimWrite write, Instant now);

    /** Sends the writes whose window has passed. To be called at nextDue(). */
    ClaimBatchActions advance(Instant now);

    /** The batch took effect. \a versions are in the order of the batch's writes. */
    ClaimBatchActions committed(ClaimBatchId id, std::span<const std::uint64_t> versions,
                                Instant now);
    ClaimBatchActions conflicted(ClaimBatchId id, std::span<const ClaimConflict> conflicts,
                                 Instant now);
    /** The batch certainly never reached the platform. */
    ClaimBatchActions notSent(ClaimBatchId id, Instant now);
    /** The batch may or may not take effect. */
    ClaimBatchActions lost(ClaimBatchId id, Instant now);

    std::optional<Instant> nextDue() const;
    std::size_t waitingCount() const;

private:
    using Writes = std::vector<KeyedClaimWrite>;

    Writes takeBatch(ClaimBatchId id);
    bool isKeyInFlight(const std::string &key) const;
    Writes nextWrites();
    void sendDue(Instant now, ClaimBatchActions &actions);
    void send(Writes writes, ClaimBatchActions &actions);
    ClaimBatchActions completeBatch(ClaimBatchId id, const ClaimEvent &event, Instant now);
    void resend(Writes writes, bool hasConflict, ClaimBatchActions &actions);

    ClaimBatchLimits m_limits;
    Writes m_waiting;
    Instant m_oldestAt;
    std::map<ClaimBatchId, Writes> m_inFlight;
    ClaimBatchId m_nextId = 1;
};

inline std::size_t ClaimBatcher::waitingCount() const
{
    return m_waiting.size();
}

} // namespace bulrush
