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

/** Names one claim's write within a batcher. */
using ClaimWriteId = std::uint64_t;
/** Names one transaction of a batcher; its request id at the platform is the host's to make. */
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

/** Hand this event to the claim that asked for the write. */
struct ClaimWriteResult
{
    ClaimWriteId id;
    ClaimEvent event;
};

using ClaimBatchAction = std::variant<SendClaimBatch, ClaimWriteResult>;
using ClaimBatchActions = std::vector<ClaimBatchAction>;

/** A row that kept a transaction from taking effect. */
struct ClaimConflict
{
    std::string key;
    VersionedClaim current;
};

/** Bounds of the batches. */
struct ClaimBatchLimits
{
    /** How long the first write waits for others. */
    Duration window = std::chrono::milliseconds{2};
    std::size_t batchLimit = 50;
    std::size_t openBatchLimit = 8;
    /** Writes that wait; what exceeds them is answered as not sent. */
    std::size_t waitingLimit = 1000;
};

/**
 * Gathers the claims of a few milliseconds into one transaction of the platform, which bears
 * several hundred writes a second. A transaction fails whole by one conflict: the writes in
 * conflict end so, and the others, which had no effect, go out again at once without them.
 *
 * Not thread safe.
 */
class ClaimBatcher
{
public:
    explicit ClaimBatcher(ClaimBatchLimits limits = {});

    /** Takes in a write. \pre its id is new. */
    ClaimBatchActions add(KeyedClaimWrite write, Instant now);

    /** Sends what has waited for its window. To be called at nextDue(). */
    ClaimBatchActions advance(Instant now);

    /** \a versions are in the order of the batch's writes. */
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
    bool isKeyOpen(const std::string &key) const;
    Writes nextWrites();
    void sendDue(Instant now, ClaimBatchActions &actions);
    void send(Writes writes, ClaimBatchActions &actions);
    ClaimBatchActions endAll(ClaimBatchId id, const ClaimEvent &event, Instant now);
    void resend(Writes writes, bool hasProgressed, ClaimBatchActions &actions);

    ClaimBatchLimits m_limits;
    Writes m_waiting;
    Instant m_oldestAt;
    std::map<ClaimBatchId, Writes> m_open;
    ClaimBatchId m_nextId = 1;
};

inline std::size_t ClaimBatcher::waitingCount() const
{
    return m_waiting.size();
}

} // namespace bulrush
