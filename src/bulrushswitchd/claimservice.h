#pragma once

#include "claimhandler.h"
#include "process/claimbatcher.h"
#include "request/claim.h"

#include <functional>
#include <map>
#include <string>

namespace bulrush {

struct ControlContext;

namespace io {
struct TableRow;
}

/**
 * Creates and settles claims at the platform for all requests of this daemon.
 *
 * Used on the control thread.
 */
class ClaimService
{
public:
    using Reply = std::function<void(const ClaimVerdict &)>;
    /** \returns the state of the daemon that holds a claim. */
    using HolderLookup = std::function<HolderState(const Incarnation &)>;

    ClaimService(ControlContext &context, HolderLookup lookup);

    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /** Starts a claim; \a reply is called once. \pre \a ticket is unused. */
    void start(ClaimTicket ticket, std::string key, ClaimRequest request, Reply reply);

    /** Applies an event to a claim. Ignores events of completed claims. */
    void handleEvent(ClaimTicket ticket, const ClaimEvent &event);

    /** Sends the batches that are due. Call it every few milliseconds. */
    void tick(Instant now);

    /** \returns the number of claims that have not completed. */
    std::size_t openCount() const;

private:
    struct OpenClaim
    {
        std::string key;
        Claim claim;
        /** Empty once it has been called. */
        Reply reply;
    };

    void perform(ClaimTicket ticket, const ClaimActions &actions);
    void performAction(ClaimTicket ticket, const WriteClaim &action);
    void performAction(ClaimTicket ticket, const ReadClaim &action);
    void performAction(ClaimTicket ticket, const DispatchClaimedRequest &action);
    void performAction(ClaimTicket ticket, const AnswerCaller &action);
    void performAction(ClaimTicket ticket, const AnswerStored &action);
    void performAction(ClaimTicket ticket, const AnswerForHeldClaim &action);
    void performAction(ClaimTicket ticket, const ScheduleClaimRecheck &action);
    void performAction(ClaimTicket ticket, const DiscardClaim &action);
    void answer(ClaimTicket ticket, const ClaimVerdict &verdict);

    void performBatch(const ClaimBatchActions &actions);
    void sendBatch(const SendClaimBatch &batch);

    ControlContext &m_context;
    HolderLookup m_lookup;
    ClaimBatcher m_batcher;
    std::map<ClaimTicket, OpenClaim> m_openClaims;
    std::uint64_t m_lastTransaction = 0;
};

inline std::size_t ClaimService::openCount() const
{
    return m_openClaims.size();
}

} // namespace bulrush
