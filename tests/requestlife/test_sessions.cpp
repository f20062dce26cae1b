#include "goldensession.h"
#include "process/drain.h"
#include "process/ratelimiter.h"
#include "request/outcome.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

std::string textOf(const CallerResponse &response)
{
    const auto &refusal = std::get<RefusalResponse>(response);
    char text[80];
    std::snprintf(text, sizeof(text), "%d  ran=%-8s retry-after=%lld", refusal.status,
                  std::string{refusal.ran}.c_str(),
                  static_cast<long long>(refusal.retryAfter.count()));
    return text;
}

const char *nameOf(DrainPhase phase)
{
    switch (phase) {
    case DrainPhase::Serving:
        return "serving";
    case DrainPhase::Announced:
        return "announced";
    case DrainPhase::Refusing:
        return "refusing new work";
    case DrainPhase::Finished:
        return "finished";
    case DrainPhase::Overdue:
        return "overdue";
    }
    return "?";
}

/** Three daemons and their domain leader, with the share of each daemon. */
class LimitSession
{
public:
    void round(std::initializer_list<double> wanted, bool isFirstCutOff)
    {
        std::size_t i = 0;
        for (const double amount : wanted) {
            if (i != 0 || !isFirstCutOff)
                renewShare(i, amount);
            ++i;
        }
        note();
        m_now += 1s;
    }

    void changeLeader()
    {
        golden.note("another steward");
        m_allocator = ShareAllocator::successor(90.0, 2, {}, m_now);
    }

    GoldenSession golden{"limit-shares"};

private:
    struct Daemon
    {
        ShareGrant grant;
        Instant validUntil;
    };

    void renewShare(std::size_t place, double wanted)
    {
        Daemon &daemon = m_daemons[place];
        const Incarnation name{std::to_string(place)};
        const ShareDemand demand{wanted, 0.0, daemon.grant.sequence};
        daemon.grant = m_allocator.renew(name, demand, held(daemon), m_now);
        daemon.validUntil = m_now + shortened(daemon.grant.length, defaultDriftPpm);
    }

    double held(const Daemon &daemon) const
    {
        return m_now < daemon.validUntil ? daemon.grant.amount : 0.0;
    }

    void note()
    {
        double sum = 0.0;
        std::string line = "shares";
        for (const Daemon &daemon : m_daemons) {
            char text[16];
            std::snprintf(text, sizeof(text), "%7.1f", held(daemon));
            line += text;
            sum += held(daemon);
        }
        golden.note(line);
        BOOST_TEST(sum <= 90.0 + 1e-9);
    }

    ShareAllocator m_allocator{90.0, 1, {}};
    std::vector<Daemon> m_daemons = std::vector<Daemon>(3);
    Instant m_now{100s};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Sessions)

BOOST_AUTO_TEST_CASE(everyPointOfFailure)
{
    GoldenSession session{"failure-points"};
    for (const FailurePoint point : allFailurePoints()) {
        char name[32];
        std::snprintf(name, sizeof(name), "%-22s", std::string{bulrush::nameOf(point)}.c_str());
        session.note(name + textOf(callerResponse(outcomeOf(point, 1500ms), false)));
    }
    session.check();
}

BOOST_AUTO_TEST_CASE(drainWithASlowUploadInFlight)
{
    GoldenSession session{"drain"};
    Drain drain;
    drain.workStarted();
    const Instant start{10s};
    const auto note = [&](Duration since) {
        session.note(std::to_string(since / 1s) + " s: " + nameOf(drain.phase(start + since))
                     + (drain.acceptsWork(start + since) ? ", takes work" : ", takes none"));
    };
    note(0s);
    drain.start(start);
    for (const Duration since : {Duration{1s}, Duration{2s}, Duration{600s}, Duration{1800s}})
        note(since);
    session.note("the upload ends");
    drain.workEnded();
    note(1900s);
    session.check();
}

BOOST_AUTO_TEST_CASE(sharesDuringAPartitionAndAChangeOfLeader)
{
    LimitSession session;
    session.golden.note("the first wants 100, the others 20 each, of 90");
    for (int i = 0; i < 3; ++i)
        session.round({100.0, 20.0, 20.0}, false);
    session.golden.note("the first is cut off, the others want 60 each");
    for (int i = 0; i < 8; ++i)
        session.round({100.0, 60.0, 60.0}, true);
    session.changeLeader();
    session.golden.note("the first is back");
    for (int i = 0; i < 17; ++i)
        session.round({100.0, 60.0, 60.0}, false);
    session.golden.check();
}

BOOST_AUTO_TEST_SUITE_END()
