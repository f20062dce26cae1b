#pragma once

#include "goldensession.h"
#include "request/claim.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/** Result of sending a write to the platform. */
enum class WriteResult {
    Answered,
    AnswerLost, ///< processed by the platform; the answer was lost
    Delayed,    ///< timed out; processed later, by processDelayedWrites()
    NotSent,
};

/**
 * Simulation of one claim row, several daemons that claim it, and a server that counts its runs.
 */
class ClaimSimulation
{
public:
    explicit ClaimSimulation(GoldenSession *session = nullptr);

    /** A caller sends a request to \a daemon; all requests have the same key. */
    void startRequest(const std::string &daemon, bool isRepeat = false);
    /** Completes the first pending write of \a daemon with the result \a writeResult. */
    void completeWrite(const std::string &daemon, WriteResult writeResult);
    void completeRead(const std::string &daemon);
    void failRead(const std::string &daemon);
    /** Processes the writes that were delayed. */
    void processDelayedWrites();
    void completeWork(const std::string &daemon, const bulrush::Outcome &outcome);
    void send(const std::string &daemon, const bulrush::ClaimEvent &event);
    /** Stops the daemon; writes that it has sent are still processed later. */
    void kill(const std::string &daemon);
    void advance(bulrush::Duration span);

    bool isWriting(const std::string &daemon) const;
    bool isReading(const std::string &daemon) const;
    bool isWaitingToRetry(const std::string &daemon) const;
    bool isDispatched(const std::string &daemon) const;
    bool isOver(const std::string &daemon) const;
    /** The last answer to the caller at \a daemon. */
    std::string answerAt(const std::string &daemon) const;
    int runs() const;
    bulrush::ClaimState rowState() const;
    /**
     * \returns whether the row is in the state Claimed although all claims have finished, so that
     * the key is unusable. False after a daemon was killed, which leaves such a row permanently.
     */
    bool isStuck() const;

    /** Changes an event before a claim handles it, to inject faults. */
    std::function<bulrush::ClaimEvent(const bulrush::ClaimEvent &)> mutate;

private:
    struct ClaimingDaemon
    {
        bulrush::Claim claim;
        std::vector<bulrush::WriteClaim> writes;
        bool isReading = false;
        bool isWaiting = false;
        bool isDispatched = false;
        std::string answer;
    };

    class ActionRunner;

    void perform(const std::string &daemon, const bulrush::ClaimActions &actions);
    bulrush::ClaimEvent apply(const bulrush::WriteClaim &write);
    void note(const std::string &line);

    GoldenSession *m_session;
    std::map<std::string, ClaimingDaemon> m_claimingDaemons;
    std::vector<bulrush::WriteClaim> m_delayedWrites;
    bulrush::VersionedClaim m_row;
    bulrush::Instant m_now{std::chrono::seconds{10}};
    int m_runs = 0;
    int m_kills = 0;
    int m_requestCount = 0;
};
