#include "claimworld.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Outcome whole = CompleteAnswer{};
const Outcome silent = Unknown{FailurePoint::WrittenAndSilent, 1s};
const Outcome shed = NotRun{FailurePoint::ServerShed, 1s};

/** Random daemons ask for one key, with random faults, until nothing is left to happen. */
class ClaimSearch
{
public:
    explicit ClaimSearch(unsigned seed)
        : m_random(seed)
    { }

    ClaimWorld &world()
    {
        return m_world;
    }

    void run()
    {
        for (const std::string &daemon : m_daemons)
            m_world.ask(daemon);
        for (int step = 0; step < 60; ++step)
            stepAt(m_daemons[pick(m_daemons.size())]);
        settle();
    }

    /** \returns whether a caller was told "not run" of a request that went to the server. */
    bool hasLied() const
    {
        return m_hasLied;
    }

    bool areAllOver() const
    {
        return std::ranges::all_of(m_daemons, [this](auto &name) { return m_world.isOver(name); });
    }

private:
    std::size_t pick(std::size_t count)
    {
        return m_random() % count;
    }

    void stepAt(const std::string &daemon)
    {
        if (m_world.isOver(daemon) && pick(4) == 0)
            ask(daemon);
        watched(daemon, [&] { randomStepAt(daemon); });
        if (pick(40) == 0) {
            m_world.kill(daemon);
            ask(daemon);
        }
    }

    /** Callers ask again and again, each attempt of a daemon under an id of its own. */
    void ask(const std::string &daemon)
    {
        m_isRepeat[daemon] = true;
        m_world.ask(daemon, true);
    }

    /** Checks, around a step, that "not run" was true when it was said. */
    template<typename Step>
    void watched(const std::string &daemon, Step step)
    {
        const bool wasDispatched = m_world.isDispatched(daemon);
        const std::string before = m_world.answerAt(daemon);
        step();
        const std::string after = m_world.answerAt(daemon);
        const bool isToldNotRun = after.find("ran=no") != std::string::npos;
        if (!wasDispatched && m_world.isDispatched(daemon))
            m_hasLied |= isToldNotRun;
        if (before.empty() && isToldNotRun && m_isRepeat[daemon])
            m_hasLied |= m_world.runs() > 0;
    }

    void randomStepAt(const std::string &daemon)
    {
        if (pick(12) == 0)
            m_world.deliverLate();
        if (pick(12) == 0)
            m_world.advance(700ms);
        if (pick(12) == 0)
            m_world.send(daemon, ClaimAbandoned{});
        else if (m_world.isWriting(daemon))
            m_world.platform(daemon, static_cast<Fate>(pick(4)));
        else if (m_world.isReading(daemon))
            pick(3) == 0 ? m_world.readFailed(daemon) : m_world.readAnswered(daemon);
        else if (m_world.isWaitingToSettle(daemon))
            m_world.send(daemon, ClaimRecheckDue{});
        else if (m_world.isDispatched(daemon))
            m_world.workEnded(daemon, pick(3) == 0 ? shed : (pick(2) == 0 ? silent : whole));
    }

    void settle()
    {
        m_world.deliverLate();
        for (const std::string &daemon : m_daemons) {
            for (int step = 0; step < 20 && !m_world.isOver(daemon); ++step)
                watched(daemon, [&] { settleStep(daemon); });
        }
    }

    void settleStep(const std::string &daemon)
    {
        if (m_world.isWriting(daemon))
            m_world.platform(daemon, Fate::Answered);
        else if (m_world.isReading(daemon))
            m_world.readAnswered(daemon);
        else if (m_world.isWaitingToSettle(daemon))
            m_world.send(daemon, ClaimRecheckDue{});
        else if (m_world.isDispatched(daemon))
            m_world.workEnded(daemon, whole);
    }

    std::mt19937 m_random;
    ClaimWorld m_world;
    std::vector<std::string> m_daemons{"first", "second", "third"};
    std::map<std::string, bool> m_isRepeat;
    bool m_hasLied = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimSessions)

BOOST_AUTO_TEST_CASE(sameDepositThroughTwoDaemons)
{
    GoldenSession session{"claim-two-daemons"};
    ClaimWorld world{&session};
    world.ask("first");
    world.ask("second");
    world.platform("first", Fate::Answered);
    world.platform("second", Fate::Answered);
    world.workEnded("first", whole);
    world.platform("first", Fate::Answered);
    world.ask("second", true);
    world.platform("second", Fate::Answered);
    BOOST_TEST(world.runs() == 1);
    BOOST_TEST(world.answerAt("second") == "stored answer of first");
    session.check();
}

BOOST_AUTO_TEST_CASE(claimTookEffectAndItsAnswerWasLost)
{
    GoldenSession session{"claim-answer-lost"};
    ClaimWorld world{&session};
    world.ask("first");
    world.platform("first", Fate::AnswerLost);
    world.readAnswered("first");
    world.workEnded("first", whole);
    world.platform("first", Fate::AnswerLost);
    world.readAnswered("first");
    BOOST_TEST(world.runs() == 1);
    BOOST_TEST(world.isOver("first"));
    session.check();
}

BOOST_AUTO_TEST_CASE(claimWriteArrivesAfterItsCallerWasToldNotRun)
{
    GoldenSession session{"claim-write-late"};
    ClaimWorld world{&session};
    world.ask("first");
    world.platform("first", Fate::StillUnderWay);
    world.readFailed("first");
    BOOST_TEST(world.answerAt("first") == "503 ran=no claim-answer-lost");
    world.deliverLate();
    world.ask("second");
    world.platform("second", Fate::Answered);
    BOOST_TEST(world.answerAt("second") == "409 ran=unknown in-progress");
    world.send("first", ClaimRecheckDue{});
    world.readAnswered("first");
    world.platform("first", Fate::Answered);
    world.ask("second");
    world.platform("second", Fate::Answered);
    world.platform("second", Fate::Answered);
    BOOST_TEST(world.isDispatched("second"));
    BOOST_TEST(world.runs() == 1);
    session.check();
}

BOOST_AUTO_TEST_CASE(delayedWriteHasNoEffectAfterARewrite)
{
    GoldenSession session{"claim-write-shut-out"};
    ClaimWorld world{&session};
    world.ask("first");
    world.platform("first", Fate::StillUnderWay);
    world.readFailed("first");
    world.send("first", ClaimRecheckDue{});
    world.readAnswered("first");
    world.platform("first", Fate::Answered);
    world.deliverLate();
    BOOST_TEST((world.rowState() == ClaimState::NotRun));
    BOOST_TEST(world.isOver("first"));
    BOOST_TEST(world.runs() == 0);
    session.check();
}

BOOST_AUTO_TEST_CASE(daemonCrashesAfterDispatch)
{
    GoldenSession session{"claim-daemon-killed"};
    ClaimWorld world{&session};
    world.ask("first");
    world.platform("first", Fate::Answered);
    world.kill("first");
    world.advance(3600s);
    world.ask("second", true);
    world.platform("second", Fate::Answered);
    BOOST_TEST(world.runs() == 1);
    BOOST_TEST((outcomeOfHeldClaim(HolderState::Gone, 1s)
                == Outcome{Unknown{FailurePoint::ClaimUnknown, 1s}}));
    session.check();
}

BOOST_AUTO_TEST_CASE(daemonFrozenBetweenClaimAndDispatch)
{
    GoldenSession session{"claim-daemon-frozen"};
    ClaimWorld world{&session};
    world.ask("first");
    world.advance(5s);
    world.platform("first", Fate::Answered);
    world.platform("first", Fate::Answered);
    BOOST_TEST(world.runs() == 0);
    BOOST_TEST(world.answerAt("first") == "503 ran=no deadline");
    BOOST_TEST((world.rowState() == ClaimState::NotRun));
    session.check();
}

BOOST_AUTO_TEST_CASE(platformDown)
{
    GoldenSession session{"claim-platform-down"};
    ClaimWorld world{&session};
    world.ask("first");
    world.platform("first", Fate::NotSent);
    world.ask("second", true);
    world.platform("second", Fate::NotSent);
    BOOST_TEST(world.answerAt("first") == "503 ran=no claim-unavailable");
    BOOST_TEST(world.answerAt("second") == "504 ran=unknown repeat-not-checked");
    BOOST_TEST(world.runs() == 0);
    session.check();
}

BOOST_AUTO_TEST_CASE(platformSlowBeyondTheDeadline)
{
    GoldenSession session{"claim-platform-slow"};
    ClaimWorld world{&session};
    world.ask("first");
    world.advance(2100ms);
    world.send("first", ClaimAbandoned{});
    BOOST_TEST(world.answerAt("first") == "503 ran=no deadline");
    world.platform("first", Fate::Answered);
    world.platform("first", Fate::Answered);
    BOOST_TEST((world.rowState() == ClaimState::NotRun));
    BOOST_TEST(world.runs() == 0);
    session.check();
}

BOOST_AUTO_TEST_CASE(serverDidNotRunItAndAnotherDaemonMayClaim)
{
    GoldenSession session{"claim-released"};
    ClaimWorld world{&session};
    world.ask("first");
    world.platform("first", Fate::Answered);
    world.workEnded("first", shed);
    world.platform("first", Fate::Answered);
    world.ask("second", true);
    world.platform("second", Fate::Answered);
    world.platform("second", Fate::Answered);
    BOOST_TEST(world.isDispatched("second"));
    BOOST_TEST(world.runs() == 1);
    session.check();
}

BOOST_AUTO_TEST_CASE(missingAnswerLeavesTheClaimUnknown)
{
    GoldenSession session{"claim-unknown"};
    ClaimWorld world{&session};
    world.ask("first");
    world.platform("first", Fate::Answered);
    world.workEnded("first", silent);
    world.platform("first", Fate::Answered);
    world.ask("second", true);
    world.platform("second", Fate::Answered);
    BOOST_TEST(world.answerAt("second") == "504 ran=unknown claim-unknown");
    BOOST_TEST(world.runs() == 1);
    session.check();
}

BOOST_AUTO_TEST_CASE(seededSearchNeverRunsTwiceNorAnswersWrongly)
{
    for (unsigned seed = 0; seed < 20000; ++seed) {
        ClaimSearch search{seed};
        search.run();
        BOOST_TEST_REQUIRE(search.world().runs() <= 1, "seed " << seed);
        BOOST_TEST_REQUIRE(!search.hasLied(), "seed " << seed);
        BOOST_TEST_REQUIRE(search.areAllOver(), "seed " << seed);
        BOOST_TEST_REQUIRE(!search.world().isStuck(), "seed " << seed);
    }
}

/** The search counts only if it finds a fault that is there. */
BOOST_AUTO_TEST_CASE(seededSearchFindsLostAnswerTakenForSuccess)
{
    const auto takeForSuccess = [](const ClaimEvent &event) -> ClaimEvent {
        if (std::holds_alternative<ClaimWriteLost>(event))
            return ClaimWriteCommitted{1};
        return event;
    };
    bool isFound = false;
    for (unsigned seed = 0; seed < 1000 && !isFound; ++seed) {
        ClaimSearch search{seed};
        search.world().mutate = takeForSuccess;
        search.run();
        isFound = search.world().runs() > 1;
    }
    BOOST_TEST(isFound);
}

/** What the search is to find: a daemon that claims what another holds. */
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
        search.world().mutate = takeOver;
        search.run();
        isFound = search.world().runs() > 1;
    }
    BOOST_TEST(isFound);
}

BOOST_AUTO_TEST_CASE(seededSearchFindsUnsettledWriteTakenForFailure)
{
    const auto takeForFailure = [](const ClaimEvent &event) -> ClaimEvent {
        if (std::holds_alternative<ClaimWriteLost>(event))
            return ClaimWriteNotSent{};
        return event;
    };
    bool isFound = false;
    for (unsigned seed = 0; seed < 1000 && !isFound; ++seed) {
        ClaimSearch search{seed};
        search.world().mutate = takeForFailure;
        search.run();
        isFound = search.world().isStuck();
    }
    BOOST_TEST(isFound);
}

BOOST_AUTO_TEST_SUITE_END()
