#include "connection/servermanager.h"
#include "goldensession.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{10s};

/** A server manager with a log of all its events and actions. */
class ServerManagerSession
{
public:
    explicit ServerManagerSession(std::string_view name, ServerManagerLimits limits = {})
        : m_golden(name)
        , m_serverManager(limits)
    { }

    void submit(WorkId id, RequestClass requestClass, Duration wait)
    {
        const bool isPriority = requestClass == RequestClass::Priority;
        note(std::string{isPriority ? "priority" : "ordinary"} + " work " + std::to_string(id)
             + " comes, to be done in " + ms(wait));
        perform(m_serverManager.submit({id, {requestClass, true, m_now + wait}, false}, m_now));
    }

    void complete(WorkId id, WorkResult end, std::string_view what)
    {
        note("work " + std::to_string(id) + " " + std::string{what});
        perform(m_serverManager.workEnded(id, end, m_now));
    }

    void serverAnswered(bool isDraining = false)
    {
        note(isDraining ? "the server says that it drains" : "the server answers a control call");
        perform(m_serverManager.serverAnswered(isDraining, m_now));
    }

    void advance(Duration span)
    {
        m_now += span;
        note(ms(span) + " pass");
        perform(m_serverManager.advance(m_now));
    }

    void check() const
    {
        m_golden.check();
    }

    ServerManager &serverManager()
    {
        return m_serverManager;
    }

private:
    static std::string ms(Duration span)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count())
            + " ms";
    }

    void note(std::string_view line)
    {
        m_golden.note(line);
    }

    void perform(const ServerManagerActions &actions)
    {
        for (const ServerManagerAction &action : actions)
            std::visit([this](const auto &one) { perform(one); }, action);
    }

    void perform(const DispatchWork &action)
    {
        note("    send " + std::to_string(action.id));
    }

    void perform(const RefuseWork &action)
    {
        note("    refuse " + std::to_string(action.id) + ": " + std::string{nameOf(action.reason)}
             + ", come back after " + ms(action.retryAfter));
    }

    void perform(const ReportSuspected &)
    {
        note("    report that the server is silent");
    }

    void perform(const ReportRecovered &)
    {
        note("    report that the server answers again");
    }

    GoldenSession m_golden;
    ServerManager m_serverManager;
    Instant m_now = start;
};

ManagedWork ordinary(WorkId id, Duration wait = 10s)
{
    return {id, {RequestClass::Ordinary, true, start + wait}, false};
}

/** Random work, results and silence at one server manager, checked against separate counts. */
class ServerManagerSearch
{
public:
    explicit ServerManagerSearch(unsigned seed)
        : m_random(seed)
    { }

    void run()
    {
        for (int step = 0; step < 400; ++step) {
            m_now += m_random() % 20 * 1ms;
            randomStep();
            BOOST_TEST_REQUIRE(m_dispatched.size() <= 3U);
            BOOST_TEST_REQUIRE(m_queued.size() <= 8U);
        }
        m_now += 10s;
        perform(m_serverManager.advance(m_now));
        while (!m_dispatched.empty())
            end(m_dispatched.begin()->first, WorkResult::Answered);
        BOOST_TEST_REQUIRE(m_queued.empty());
        BOOST_TEST_REQUIRE(m_serverManager.load(RequestClass::Ordinary).inFlight == 0);
    }

private:
    static ServerManagerLimits limits()
    {
        ServerManagerLimits limits;
        limits.queueLimit = 8;
        return limits;
    }

    void randomStep()
    {
        const auto choice = m_random() % 10;
        if (choice < 5)
            submit();
        else if (choice < 8 && !m_dispatched.empty())
            end(m_dispatched.begin()->first, static_cast<WorkResult>(m_random() % 4));
        else if (choice == 8)
            perform(m_serverManager.serverAnswered(false, m_now));
        else
            perform(m_serverManager.advance(m_now));
    }

    void submit()
    {
        const WorkId id = m_nextId++;
        const RequestClass requestClass =
            m_random() % 3 == 0 ? RequestClass::Priority : RequestClass::Ordinary;
        const Instant deadline = m_now + m_random() % 1000 * 1ms;
        m_queued[id] = deadline;
        perform(m_serverManager.submit({id, {requestClass, true, deadline}, false}, m_now));
    }

    void end(WorkId id, WorkResult workEnd)
    {
        m_dispatched.erase(id);
        perform(m_serverManager.workEnded(id, workEnd, m_now));
    }

    void perform(const ServerManagerActions &actions)
    {
        for (const ServerManagerAction &action : actions)
            std::visit([this](const auto &one) { perform(one); }, action);
    }

    /** Each piece of work is sent or refused once, and never sent after its deadline. */
    void perform(const DispatchWork &action)
    {
        BOOST_TEST_REQUIRE(m_queued.contains(action.id));
        BOOST_TEST_REQUIRE((m_now <= m_queued[action.id]));
        m_dispatched.insert(m_queued.extract(action.id));
    }

    void perform(const RefuseWork &action)
    {
        BOOST_TEST_REQUIRE(m_queued.erase(action.id) == 1U);
        BOOST_TEST_REQUIRE(isCertainlyNotRun(action.reason));
        BOOST_TEST_REQUIRE((action.retryAfter >= 1s));
    }

    void perform(const ReportSuspected &)
    {
        BOOST_TEST_REQUIRE(m_serverManager.isSuspected());
    }

    void perform(const ReportRecovered &)
    {
        BOOST_TEST_REQUIRE(!m_serverManager.isSuspected());
    }

    std::mt19937 m_random;
    ServerManager m_serverManager{limits()};
    std::map<WorkId, Instant> m_queued;
    std::map<WorkId, Instant> m_dispatched;
    WorkId m_nextId = 1;
    Instant m_now = start;
};

bool isSent(const ServerManagerActions &actions, WorkId id)
{
    return actions == ServerManagerActions{DispatchWork{id}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerManagerSessions)

BOOST_AUTO_TEST_CASE(slotsAreNeverOverfilled)
{
    ServerManager serverManager{{}};
    for (WorkId id = 1; id <= 10; ++id)
        BOOST_TEST(isSent(serverManager.submit(ordinary(id), start), id) == (id <= 3));
    BOOST_TEST(serverManager.load(RequestClass::Ordinary).inFlight == 3);
    BOOST_TEST(serverManager.load(RequestClass::Ordinary).queuedBefore == 7);
    BOOST_TEST(isSent(serverManager.workEnded(2, WorkResult::Answered, start + 20ms), 4));
    BOOST_TEST(serverManager.workEnded(2, WorkResult::Answered, start + 20ms).empty());
}

BOOST_AUTO_TEST_CASE(queueIsBounded)
{
    ServerManager serverManager{{}};
    int refused = 0;
    for (WorkId id = 1; id <= 1000; ++id) {
        for (const ServerManagerAction &action : serverManager.submit(ordinary(id, 100s), start)) {
            const auto *refusal = std::get_if<RefuseWork>(&action);
            refused += refusal != nullptr && refusal->reason == FailurePoint::QueueFull ? 1 : 0;
        }
    }
    BOOST_TEST(refused == 1000 - 3 - 64);
    BOOST_TEST(serverManager.load(RequestClass::Ordinary).queuedBefore == 64);
}

BOOST_AUTO_TEST_CASE(workThatWouldBeLateIsRefusedOnSubmission)
{
    ServerManagerSession session{"attendant-overload"};
    for (WorkId id = 1; id <= 8; ++id)
        session.submit(id, RequestClass::Ordinary, 125ms);
    session.submit(9, RequestClass::Priority, 125ms);
    session.submit(10, RequestClass::Priority, 125ms);
    session.submit(11, RequestClass::Priority, 125ms);
    session.advance(20ms);
    session.complete(1, WorkResult::Answered, "is answered");
    session.submit(12, RequestClass::Ordinary, 10ms);
    session.advance(90ms);
    session.check();
}

BOOST_AUTO_TEST_CASE(frozenServerIsSuspectedAndProbed)
{
    ServerManagerSession session{"attendant-frozen"};
    for (WorkId id = 1; id <= 5; ++id)
        session.submit(id, RequestClass::Ordinary, 2s);
    session.advance(300ms);
    session.advance(100ms);
    BOOST_TEST(session.serverManager().isSuspected());
    session.submit(6, RequestClass::Priority, 2s);
    session.serverAnswered();
    session.complete(1, WorkResult::Lost, "is given up on");
    session.complete(2, WorkResult::Lost, "is given up on");
    session.submit(7, RequestClass::Priority, 4s);
    session.advance(1700ms);
    session.complete(3, WorkResult::Answered, "is answered");
    session.complete(7, WorkResult::Answered, "is answered");
    BOOST_TEST(!session.serverManager().isSuspected());
    session.check();
}

BOOST_AUTO_TEST_CASE(sheddingServerGetsLessWork)
{
    ServerManagerSession session{"attendant-shed"};
    for (WorkId id = 1; id <= 9; ++id)
        session.submit(id, RequestClass::Ordinary, 5s);
    session.complete(1, WorkResult::Shed, "is shed by the server");
    session.complete(2, WorkResult::Cold, "is refused by the cold server");
    session.complete(3, WorkResult::Answered, "is answered");
    session.complete(4, WorkResult::Answered, "is answered");
    session.complete(5, WorkResult::Answered, "is answered");
    session.complete(6, WorkResult::Answered, "is answered");
    session.check();
}

BOOST_AUTO_TEST_CASE(drainingServerGetsNoNewWorkAndFinishesWorkInFlight)
{
    ServerManagerSession session{"attendant-draining"};
    for (WorkId id = 1; id <= 4; ++id)
        session.submit(id, RequestClass::Ordinary, 5s);
    session.serverAnswered(true);
    session.submit(5, RequestClass::Priority, 5s);
    session.complete(1, WorkResult::Answered, "is answered");
    session.complete(2, WorkResult::Answered, "is answered");
    session.complete(3, WorkResult::Answered, "is answered");
    session.check();
}

BOOST_AUTO_TEST_CASE(lostWorkHoldsItsSlotUntilItsDeadline)
{
    ServerManager serverManager{{}};
    for (WorkId id = 1; id <= 4; ++id)
        serverManager.submit(ordinary(id, id == 1 ? 200ms : 5s), start);
    BOOST_TEST(serverManager.workEnded(1, WorkResult::Lost, start + 20ms).empty());
    BOOST_TEST(serverManager.load(RequestClass::Ordinary).inFlight == 3);
    BOOST_TEST(isSent(serverManager.advance(start + 200ms), 4));
}

BOOST_AUTO_TEST_CASE(streamedBodiesHoldConnectionsNotSlots)
{
    ServerManagerLimits limits;
    limits.streamedBodyLimit = 4;
    ServerManager serverManager{limits};
    const auto upload = [](WorkId id) {
        ManagedWork work = ordinary(id, 100s);
        work.hasStreamedBody = true;
        return work;
    };
    for (WorkId id = 1; id <= 5; ++id)
        BOOST_TEST(isSent(serverManager.submit(upload(id), start), id) == (id <= 4));
    BOOST_TEST(isSent(serverManager.submit(ordinary(6), start), 6));
    serverManager.bodySent(1, start + 1s);
    BOOST_TEST(serverManager.load(RequestClass::Ordinary).inFlight == 2);
    BOOST_TEST(isSent(serverManager.submit(upload(7), start), 7));
}

BOOST_AUTO_TEST_CASE(cancelledWorkIsNotSent)
{
    ServerManager serverManager{{}};
    for (WorkId id = 1; id <= 5; ++id)
        serverManager.submit(ordinary(id), start);
    serverManager.cancel(4);
    BOOST_TEST(isSent(serverManager.workEnded(1, WorkResult::Answered, start + 20ms), 5));
}

BOOST_AUTO_TEST_CASE(randomWorkIsSentOrRefusedOnceAndNeverBeyondTheSlots)
{
    for (unsigned seed = 0; seed < 500; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            ServerManagerSearch{seed}.run();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
