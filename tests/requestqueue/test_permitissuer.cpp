#define BOOST_TEST_MODULE PermitIssuer

#include "process/permitcodec.h"
#include "requestqueue/permitfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(allDaemonsTogetherKeepTheLimitAndUseIt)
{
    for (const std::size_t count : fleetSizes) {
        for (const double limit : limits) {
            Fleet fleet{count};
            fleet.run(3.0 * limit, limit, spanFor(limit), 300ms);
            BOOST_TEST_CONTEXT(count << " daemons, limit " << limit)
            {
                BOOST_TEST(fleet.mostInWindow() <= static_cast<std::size_t>(limit * 4.2 + 3.0));
                BOOST_TEST(static_cast<double>(fleet.sends.size())
                           >= 0.85 * limit * std::chrono::duration<double>(spanFor(limit)).count());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(callersAtAFewDaemonsGetTheWholeLimit)
{
    Fleet fleet{195};
    const std::vector<DaemonLocation> all = fleet.daemons;
    fleet.daemons = {all[3], all[40], all[111]};
    fleet.run(15.0, 5.3, 60s, 300ms);
    BOOST_TEST(static_cast<double>(fleet.sends.size()) >= 0.85 * 5.3 * 60.0);
}

BOOST_AUTO_TEST_CASE(twoGroupsThatQueryDifferentIssuersStayWithinTheBound)
{
    for (const std::size_t count : fleetSizes) {
        for (const double limit : limits) {
            // Half of the daemons get no answer from the primary, which issues to the others.
            Fleet fleet{count};
            const HostName primary = RendezvousOrder{server, domain}.first(1, fleet.daemons)[0];
            std::mt19937 random{3};
            fleet.isSilent = [&](const HostName &host, Instant) {
                return host == primary && random() % 2 == 0;
            };
            fleet.run(6.0 * limit, limit, spanFor(limit), 300ms);
            BOOST_TEST(fleet.mostInWindow() <= allowedInWindow(limit),
                       count << " daemons, limit " << limit);
        }
    }
}

BOOST_AUTO_TEST_CASE(viewsThatLackATenthOfTheDaemonsStayWithinTheBound)
{
    std::mt19937 random{11};
    for (const std::size_t count : {66U, 195U, 550U}) {
        for (int trial = 0; trial < 10; ++trial) {
            Fleet fleet{count};
            for (const DaemonLocation &self : fleet.daemons) {
                std::vector<DaemonLocation> &view = fleet.views[self.host];
                std::ranges::shuffle(view, random);
                for (std::size_t lacked = 0; lacked < count / 10; ++lacked)
                    view.erase(view.begin() + (view.front() == self ? 1 : 0));
            }
            fleet.run(16.0, 5.3, 60s, 300ms);
            BOOST_TEST(fleet.mostInWindow() <= allowedInWindow(5.3),
                       count << " daemons, trial " << trial << ": " << fleet.mostInWindow());
            BOOST_TEST(fleet.sends.size() >= 100U, count << " daemons");
        }
    }
}

BOOST_AUTO_TEST_CASE(newPrimaryThatOthersHearOfWithinTwoSecondsKeepsTheBound)
{
    std::mt19937 random{13};
    for (const std::size_t count : fleetSizes) {
        for (const double limit : limits) {
            Fleet fleet{count};
            const std::vector<DaemonLocation> all = fleet.daemons;
            const HostName primary = RendezvousOrder{server, domain}.first(1, all)[0];
            std::vector<DaemonLocation> before = all;
            std::erase_if(before, [&](const auto &daemon) { return daemon.host == primary; });
            // The primary starts after ten seconds, and each daemon hears of it a while later.
            std::map<HostName, Instant> hearsAt;
            for (const DaemonLocation &daemon : all)
                hearsAt[daemon.host] = start + 10s + std::chrono::milliseconds{random() % 2000};
            hearsAt[primary] = start + 10s;
            for (auto &[host, view] : fleet.views)
                view = before;
            fleet.beforeQuery = [&](Instant now) {
                std::erase_if(hearsAt, [&](const auto &entry) {
                    if (now < entry.second)
                        return false;
                    fleet.views[entry.first] = all;
                    return true;
                });
            };
            fleet.run(3.0 * limit, limit, limit < 100.0 ? 20s : 13s, 300ms);
            BOOST_TEST(fleet.mostInWindow() <= allowedInWindow(limit),
                       count << " daemons, limit " << limit << ": " << fleet.mostInWindow());
        }
    }
}

BOOST_AUTO_TEST_CASE(backupIssuesWhileThePrimaryIsSilent)
{
    Fleet fleet{66};
    const HostName primary = RendezvousOrder{server, domain}.first(1, fleet.daemons)[0];
    fleet.isSilent = [&](const HostName &host, Instant now) {
        return host == primary && now > start + 10s;
    };
    fleet.run(16.0, 5.3, 20s, 300ms);
    const auto later =
        std::ranges::count_if(fleet.sends, [](Instant sent) { return sent > start + 11s; });
    BOOST_TEST(later >= 15);
    BOOST_TEST(fleet.mostInWindow() <= allowedInWindow(5.3));
}

BOOST_AUTO_TEST_CASE(requestIsRefusedAtOnceIfItCannotWaitSoLong)
{
    PermitIssuer issuer;
    const auto ask = [&](Duration maxWait) {
        return issuer.answer(queryOf(1.0, maxWait), IssuerRole::Primary, start);
    };
    BOOST_TEST((ask({}) == PermitAnswer{PermitOutcome::Granted, 0ns}));
    BOOST_TEST((ask({}) == PermitAnswer{PermitOutcome::Granted, 0ns}));
    const PermitAnswer refused = ask(500ms);
    BOOST_TEST((refused.outcome == PermitOutcome::Refused));
    BOOST_TEST((refused.wait > 800ms));
    BOOST_TEST((refused.wait < 900ms));
    const PermitAnswer granted = ask(900ms);
    BOOST_TEST((granted.outcome == PermitOutcome::Granted));
    BOOST_TEST((granted.wait == refused.wait));
}

BOOST_AUTO_TEST_CASE(endOfALimitReachesDaemonsThatHaveNotHeardOfIt)
{
    PermitIssuer issuer;
    issuer.answer(queryOf(5.0), IssuerRole::Primary, start);
    const PermitQuery end{server, domain, std::nullopt, 100ms, {}};
    BOOST_TEST(
        (issuer.answer(end, IssuerRole::Primary, start + 2s).outcome == PermitOutcome::LimitEnded));
    // This daemon was told before the end.
    BOOST_TEST((issuer.answer(queryOf(5.0, {}, 1s), IssuerRole::Primary, start + 2s).outcome
                == PermitOutcome::LimitEnded));
    // The server names a limit again.
    BOOST_TEST((issuer.answer(queryOf(5.0, {}, 20ms), IssuerRole::Primary, start + 2s).outcome
                == PermitOutcome::Granted));
    // The report of the end is late.
    const PermitQuery late{server, domain, std::nullopt, 900ms, {}};
    issuer.answer(late, IssuerRole::Primary, start + 2500ms);
    BOOST_TEST((issuer.answer(queryOf(5.0, {}, 1s), IssuerRole::Primary, start + 3s).outcome
                == PermitOutcome::Granted));
}

BOOST_AUTO_TEST_CASE(limitThatChangesEachSecondIsKept)
{
    PermitIssuer issuer;
    std::vector<Instant> sends;
    for (Instant now = start; now < start + 60s; now += 10ms) {
        const double limit = (now - start) / 1s % 2 == 0 ? 8.0 : 2.0;
        const PermitAnswer answer = issuer.answer(queryOf(limit, 300ms), IssuerRole::Primary, now);
        if (answer.outcome == PermitOutcome::Granted)
            sends.push_back(now + answer.wait);
    }
    BOOST_TEST(sends.size() >= 240U);
    BOOST_TEST(sends.size() <= 60U * 5U + 4U);
}

BOOST_AUTO_TEST_CASE(limitOfZeroAdmitsAFewRequestsThatShowItsEnd)
{
    PermitIssuer issuer;
    int granted = 0;
    for (Instant now = start; now < start + 40s; now += 100ms)
        granted +=
            issuer.answer(queryOf(0.0), IssuerRole::Primary, now).outcome == PermitOutcome::Granted
            ? 1
            : 0;
    BOOST_TEST(granted >= 10);
    BOOST_TEST(granted <= 13);
}

BOOST_AUTO_TEST_CASE(daemonThatIsNeitherPrimaryNorBackupIssuesNothing)
{
    PermitIssuer issuer;
    BOOST_TEST((PermitIssuer::roleOf(2) == IssuerRole::None));
    BOOST_TEST((PermitIssuer::roleOf(std::nullopt) == IssuerRole::None));
    BOOST_TEST((issuer.answer(queryOf(5.0, 10s), IssuerRole::None, start).outcome
                == PermitOutcome::Refused));
}

BOOST_AUTO_TEST_CASE(messagesAreReadAsTheyWereWritten)
{
    const PermitQuery query{server, domain, 5.25, 120ms, 300ms};
    BOOST_TEST((io::decodePermitQuery(io::encodePermitQuery(query)) == query));
    const PermitQuery end{server, domain, std::nullopt, 0ms, 0ms};
    BOOST_TEST((io::decodePermitQuery(io::encodePermitQuery(end)) == end));
    const PermitQuery toBackup{server, domain, 5.25, 120ms, 300ms, IssuerRole::Backup};
    BOOST_TEST((io::decodePermitQuery(io::encodePermitQuery(toBackup)) == toBackup));
    for (const PermitOutcome outcome :
         {PermitOutcome::Granted, PermitOutcome::Refused, PermitOutcome::LimitEnded}) {
        const PermitAnswer answer{outcome, 70ms};
        BOOST_TEST((io::decodePermitAnswer(io::encodePermitAnswer(answer)) == answer));
    }
    for (
        const std::string wrong :
        {"", "{}",
         R"({"server":"s","domain":"a","perSecond":-1,"statedAgo":0,"maxWait":0,"asBackup":false})",
         R"({"server":"s","domain":"a","perSecond":"5","statedAgo":0,"maxWait":0,"asBackup":false})",
         R"({"server":"s","domain":"a","perSecond":5,"statedAgo":-1,"maxWait":0,"asBackup":false})"})
        BOOST_TEST(!io::decodePermitQuery(wrong).has_value(), wrong);
    for (const std::string wrong :
         {"", "[]", R"({"outcome":"maybe","wait":0})", R"({"outcome":"granted","wait":-1})"})
        BOOST_TEST(!io::decodePermitAnswer(wrong).has_value(), wrong);
}
