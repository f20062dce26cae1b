#include "claimsimulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Outcome completeAnswer = CompleteAnswer{};
const Outcome noAnswer = Unknown{FailurePoint::WrittenAndSilent, 1s};
const Outcome refused = NotRun{FailurePoint::ServerShed, 1s};

/** Three daemons claim one key, with random faults, until all claims have finished. */
class ClaimSearch
{
public:
    explicit ClaimSearch(unsigned seed)
        : m_random(seed)
    { }

    ClaimSimulation &simulation()
    {
        return m_simulation;
    }

    void run()
    {
        for (const std::string &daemon : m_daemons)
            m_simulation.startRequest(daemon);
        for (int step = 0; step < 60; ++step)
            stepAt(m_daemons[pick(m_daemons.size())]);
        finishAll();
    }

    /** \returns whether a caller received "not run" for a request that was sent to the server. */
    bool hasGivenWrongAnswer() const
    {
        return m_hasGivenWrongAnswer;
    }

    bool areAllOver() const
    {
        return std::ranges::all_of(m_daemons,
                                   [this](auto &name) { return m_simulation.isOver(name); });
    }

private:
    std::size_t pick(std::size_t count)
    {
        return m_random() % count;
    }

    void stepAt(const std::string &daemon)
    {
        if (m_simulation.isOver(daemon) && pick(4) == 0)
            startRequest(daemon);
        checkedStep(daemon, [&] { randomStepAt(daemon); });
        if (pick(40) == 0) {
            m_simulation.kill(daemon);
            startRequest(daemon);
        }
    }

    /** The caller repeats the request; each attempt of a daemon has an id of its own. */
    void startRequest(const std::string &daemon)
    {
        m_isRepeat[daemon] = true;
        m_simulation.startRequest(daemon, true);
    }

    /** Runs a step and checks that an answer "not run" was correct when it was given. */
    template<typename Step>
    void checkedStep(const std::string &daemon, Step step)
    {
        const bool wasDispatched = m_simulation.isDispatched(daemon);
        const std::string before = m_simulation.answerAt(daemon);
        step();
        const std::string after = m_simulation.answerAt(daemon);
        const bool isAnsweredNotRun = after.find("ran=no") != std::string::npos;
        if (!wasDispatched && m_simulation.isDispatched(daemon))
            m_hasGivenWrongAnswer |= isAnsweredNotRun;
        if (before.empty() && isAnsweredNotRun && m_isRepeat[daemon])
            m_hasGivenWrongAnswer |= m_simulation.runs() > 0;
    }

    void randomStepAt(const std::string &daemon)
    {
        if (pick(12) == 0)
            m_simulation.processDelayedWrites();
        if (pick(12) == 0)
            m_simulation.advance(700ms);
        if (pick(12) == 0)
            m_simulation.send(daemon, ClaimAbandoned{});
        else if (m_simulation.isWriting(daemon))
            m_simulation.completeWrite(daemon, static_cast<WriteResult>(pick(4)));
        else if (m_simulation.isReading(daemon))
            pick(3) == 0 ? m_simulation.failRead(daemon) : m_simulation.completeRead(daemon);
        else if (m_simulation.isWaitingToRetry(daemon))
            m_simulation.send(daemon, ClaimRecheckDue{});
        else if (m_simulation.isDispatched(daemon))
            m_simulation.completeWork(
                daemon, pick(3) == 0 ? refused : (pick(2) == 0 ? noAnswer : completeAnswer));
    }

    void finishAll()
    {
        m_simulation.processDelayedWrites();
        for (const std::string &daemon : m_daemons) {
            for (int step = 0; step < 20 && !m_simulation.isOver(daemon); ++step)
                checkedStep(daemon, [&] { finishStep(daemon); });
        }
    }

    void finishStep(const std::string &daemon)
    {
        if (m_simulation.isWriting(daemon))
            m_simulation.completeWrite(daemon, WriteResult::Answered);
        else if (m_simulation.isReading(daemon))
            m_simulation.completeRead(daemon);
        else if (m_simulation.isWaitingToRetry(daemon))
            m_simulation.send(daemon, ClaimRecheckDue{});
        else if (m_simulation.isDispatched(daemon))
            m_simulation.completeWork(daemon, completeAnswer);
    }

    std::mt19937 m_random;
    ClaimSimulation m_simulation;
    std::vector<std::string> m_daemons{"first", "second", "third"};
    std::map<std::string, bool> m_isRepeat;
    bool m_hasGivenWrongAnswer = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimSessions)

BOOST_AUTO_TEST_CASE(sameDepositThroughTwoDaemons)
{
    GoldenSession session{"claim-two-daemons"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.startRequest("second");
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.completeWrite("second", WriteResult::Answered);
    simulation.completeWork("first", completeAnswer);
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.startRequest("second", true);
    simulation.completeWrite("second", WriteResult::Answered);
    BOOST_TEST(simulation.runs() == 1);
    BOOST_TEST(simulation.answerAt("second") == "stored answer of first");
    session.check();
}

BOOST_AUTO_TEST_CASE(claimTookEffectAndItsAnswerWasLost)
{
    GoldenSession session{"claim-answer-lost"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.completeWrite("first", WriteResult::AnswerLost);
    simulation.completeRead("first");
    simulation.completeWork("first", completeAnswer);
    simulation.completeWrite("first", WriteResult::AnswerLost);
    simulation.completeRead("first");
    BOOST_TEST(simulation.runs() == 1);
    BOOST_TEST(simulation.isOver("first"));
    session.check();
}

BOOST_AUTO_TEST_CASE(claimWriteArrivesAfterItsCallerWasAnsweredNotRun)
{
    GoldenSession session{"claim-write-late"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.completeWrite("first", WriteResult::Delayed);
    simulation.failRead("first");
    BOOST_TEST(simulation.answerAt("first") == "503 ran=no claim-answer-lost");
    simulation.processDelayedWrites();
    simulation.startRequest("second");
    simulation.completeWrite("second", WriteResult::Answered);
    BOOST_TEST(simulation.answerAt("second") == "409 ran=unknown in-progress");
    simulation.send("first", ClaimRecheckDue{});
    simulation.completeRead("first");
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.startRequest("second");
    simulation.completeWrite("second", WriteResult::Answered);
    simulation.completeWrite("second", WriteResult::Answered);
    BOOST_TEST(simulation.isDispatched("second"));
    BOOST_TEST(simulation.runs() == 1);
    session.check();
}

BOOST_AUTO_TEST_CASE(delayedWriteHasNoEffectAfterARewrite)
{
    GoldenSession session{"claim-write-shut-out"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.completeWrite("first", WriteResult::Delayed);
    simulation.failRead("first");
    simulation.send("first", ClaimRecheckDue{});
    simulation.completeRead("first");
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.processDelayedWrites();
    BOOST_TEST((simulation.rowState() == ClaimState::NotRun));
    BOOST_TEST(simulation.isOver("first"));
    BOOST_TEST(simulation.runs() == 0);
    session.check();
}

BOOST_AUTO_TEST_CASE(daemonCrashesAfterDispatch)
{
    GoldenSession session{"claim-daemon-killed"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.kill("first");
    simulation.advance(3600s);
    simulation.startRequest("second", true);
    simulation.completeWrite("second", WriteResult::Answered);
    BOOST_TEST(simulation.runs() == 1);
    BOOST_TEST((outcomeOfHeldClaim(HolderState::Gone, 1s)
                == Outcome{Unknown{FailurePoint::ClaimUnknown, 1s}}));
    session.check();
}

BOOST_AUTO_TEST_CASE(daemonFrozenBetweenClaimAndDispatch)
{
    GoldenSession session{"claim-daemon-frozen"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.advance(5s);
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.completeWrite("first", WriteResult::Answered);
    BOOST_TEST(simulation.runs() == 0);
    BOOST_TEST(simulation.answerAt("first") == "503 ran=no deadline");
    BOOST_TEST((simulation.rowState() == ClaimState::NotRun));
    session.check();
}

BOOST_AUTO_TEST_CASE(platformDown)
{
    GoldenSession session{"claim-platform-down"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.completeWrite("first", WriteResult::NotSent);
    simulation.startRequest("second", true);
    simulation.completeWrite("second", WriteResult::NotSent);
    BOOST_TEST(simulation.answerAt("first") == "503 ran=no claim-unavailable");
    BOOST_TEST(simulation.answerAt("second") == "504 ran=unknown repeat-not-checked");
    BOOST_TEST(simulation.runs() == 0);
    session.check();
}

BOOST_AUTO_TEST_CASE(platformSlowBeyondTheDeadline)
{
    GoldenSession session{"claim-platform-slow"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.advance(2100ms);
    simulation.send("first", ClaimAbandoned{});
    BOOST_TEST(simulation.answerAt("first") == "503 ran=no deadline");
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.completeWrite("first", WriteResult::Answered);
    BOOST_TEST((simulation.rowState() == ClaimState::NotRun));
    BOOST_TEST(simulation.runs() == 0);
    session.check();
}

BOOST_AUTO_TEST_CASE(serverDidNotRunItAndAnotherDaemonMayClaim)
{
    GoldenSession session{"claim-released"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.completeWork("first", refused);
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.startRequest("second", true);
    simulation.completeWrite("second", WriteResult::Answered);
    simulation.completeWrite("second", WriteResult::Answered);
    BOOST_TEST(simulation.isDispatched("second"));
    BOOST_TEST(simulation.runs() == 1);
    session.check();
}

BOOST_AUTO_TEST_CASE(missingAnswerLeavesTheClaimUnknown)
{
    GoldenSession session{"claim-unknown"};
    ClaimSimulation simulation{&session};
    simulation.startRequest("first");
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.completeWork("first", noAnswer);
    simulation.completeWrite("first", WriteResult::Answered);
    simulation.startRequest("second", true);
    simulation.completeWrite("second", WriteResult::Answered);
    BOOST_TEST(simulation.answerAt("second") == "504 ran=unknown claim-unknown");
    BOOST_TEST(simulation.runs() == 1);
    session.check();
}

BOOST_AUTO_TEST_CASE(seededSearchNeverRunsTwiceNorAnswersWrongly)
{
    for (unsigned seed = 0; seed < 20000; ++seed) {
        ClaimSearch search{seed};
        search.run();
        BOOST_TEST_REQUIRE(search.simulation().runs() <= 1, "seed " << seed);
        BOOST_TEST_REQUIRE(!search.hasGivenWrongAnswer(), "seed " << seed);
        BOOST_TEST_REQUIRE(search.areAllOver(), "seed " << seed);
        BOOST_TEST_REQUIRE(!search.simulation().isStuck(), "seed " << seed);
    }
}

/** Injected fault: a lost answer is treated as a success. The search must find it. */
BOOST_AUTO_TEST_CASE(seededSearchFindsLostAnswerTreatedAsSuccess)
{
    const auto treatAsSuccess = [](const ClaimEvent &event) -> ClaimEvent {
        if (std::holds_alternative<ClaimWriteLost>(event))
            return ClaimWriteCommitted{1};
        return event;
    };
    bool isFound = false;
    for (unsigned seed = 0; seed < 1000 && !isFound; ++seed) {
        ClaimSearch search{seed};
        search.simulation().mutate = treatAsSuccess;
        search.run();
        isFound = search.simulation().runs() > 1;
    }
    BOOST_TEST(isFound);
}

/** Injected fault: a daemon claims a row that another daemon holds. The search must find it. */
BOOST_AUTO_TEST_CASE(seededSearchFindsTakenOverClaim)
{
    const auto takeOver = [](const ClaimEvent &event) -> ClaimEvent {
        const auto *conflict = std::get_if<ClaimWriteConflicted>(&event);
        if (conflict != nullptr && conflict->current.row->state == ClaimState::Claimed)
            return ClaimWriteConflicted{{conflict->current.version, std::nullopt}};
        return event;
    };
    bool isFound = false;
    for (unsigned seed = 0; seed < 1000 && !isFound; ++seed) {
        ClaimSearch search{seed};
        search.simulation().mutate = takeOver;
        search.run();
        isFound = search.simulation().runs() > 1;
    }
    BOOST_TEST(isFound);
}

BOOST_AUTO_TEST_CASE(seededSearchFindsPendingWriteTreatedAsFailure)
{
    const auto treatAsFailure = [](const ClaimEvent &event) -> ClaimEvent {
        if (std::holds_alternative<ClaimWriteLost>(event))
            return ClaimWriteNotSent{};
        return event;
    };
    bool isFound = false;
    for (unsigned seed = 0; seed < 1000 && !isFound; ++seed) {
        ClaimSearch search{seed};
        search.simulation().mutate = treatAsFailure;
        search.run();
        isFound = search.simulation().isStuck();
    }
    BOOST_TEST(isFound);
}

BOOST_AUTO_TEST_SUITE_END()
