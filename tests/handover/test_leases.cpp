#define BOOST_TEST_MODULE leases
#include "process/assignmentrecovery.h"
#include "process/handover.h"
#include "process/ownershipmap.h"
#include "process/routingleaseholder.h"
#include "process/routingleasetable.h"
#include "process/servermanagertable.h"

#include <boost/test/unit_test.hpp>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

const Incarnation d1("d1");
const ServerName s1("s1");
const ServerName s2("s2");
const ServiceName catalogue("catalogue");
const ServiceKeyRange lower{catalogue, {0, 99}};
const ServiceKeyRange upper{catalogue, {100, 199}};
constexpr Fence version{1, 1};
constexpr Instant leadershipEnd{1h};

Instant ms(int count)
{
    return Instant(1ms * count);
}

/** The leader's lease table and a daemon that may send work of one slice to s1. */
struct Fixture
{
    RoutingLeaseTimings terms;
    RoutingLeaseTable leaseTable{terms, 1};
    RoutingLeaseHolder holder{d1, terms};
    DispatchQuery query{catalogue, 7, s1, Instant(1min), version};

    Fixture()
    {
        leaseTable.allow(d1, {lower, s1, version});
    }

    LeaseReply answer(const LeaseRequest &request, Instant now)
    {
        return leaseTable.answer(request, version, now, leadershipEnd).value();
    }

    void renew(Instant now)
    {
        holder.accept(answer(holder.makeRequest(version, now), now), now);
    }

    bool checkDispatch(Instant now) const
    {
        return std::holds_alternative<DispatchAllowed>(holder.checkDispatch(query, now));
    }

    DispatchRefusal refusal(Instant now) const
    {
        return std::get<DispatchRefusal>(holder.checkDispatch(query, now));
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(lease_counts_from_before_the_request_was_sent, Fixture)
{
    BOOST_TEST((refusal(ms(0)) == DispatchRefusal::NoLease));
    const LeaseRequest request = holder.makeRequest(version, ms(0));
    const LeaseReply reply = answer(request, ms(300));
    BOOST_TEST((holder.accept(reply, ms(600)) == LeaseReplyStatus::Accepted));
    BOOST_TEST(checkDispatch(ms(1190)));
    BOOST_TEST((refusal(ms(1200)) == DispatchRefusal::Lapsed));
    BOOST_TEST((leaseTable.sendsUntil(d1) > ms(1500)));
}

BOOST_FIXTURE_TEST_CASE(deadline_is_within_caller_lease_and_cap, Fixture)
{
    renew(ms(0));
    const auto deadline = [this](Instant now) {
        return std::get<DispatchAllowed>(holder.checkDispatch(query, now)).latestDeadline;
    };
    BOOST_TEST((deadline(ms(10)) == ms(810)));
    BOOST_TEST((deadline(ms(1000)) == holder.leaseEnd().value()));
    query.callerDeadline = ms(50);
    BOOST_TEST((deadline(ms(10)) == ms(50)));
}

BOOST_FIXTURE_TEST_CASE(reply_sent_before_a_stop_does_not_restore_the_right, Fixture)
{
    const LeaseReply early = answer(holder.makeRequest(version, ms(0)), ms(1));
    leaseTable.stop(d1, lower, s1);
    const LeaseReply late = answer(holder.makeRequest(version, ms(5)), ms(6));
    holder.accept(late, ms(7));
    BOOST_TEST((holder.accept(early, ms(8)) == LeaseReplyStatus::Unmatched));
    BOOST_TEST((holder.accept(late, ms(8)) == LeaseReplyStatus::Unmatched));
    BOOST_TEST((refusal(ms(9)) == DispatchRefusal::Stopping));
    BOOST_TEST(holder.needsPull());
}

BOOST_FIXTURE_TEST_CASE(overtaken_or_duplicated_request_gets_no_answer, Fixture)
{
    const LeaseRequest first = holder.makeRequest(version, ms(0));
    const LeaseRequest second = holder.makeRequest(version, ms(1));
    BOOST_TEST(leaseTable.answer(second, version, ms(2), leadershipEnd).has_value());
    BOOST_TEST(!leaseTable.answer(first, version, ms(3), leadershipEnd).has_value());
    BOOST_TEST(!leaseTable.answer(second, version, ms(3), leadershipEnd).has_value());
}

BOOST_FIXTURE_TEST_CASE(stop_that_is_never_confirmed_waits_for_lease_and_running_work, Fixture)
{
    renew(ms(0));
    leaseTable.stop(d1, lower, s1);
    // Later answers do not include the slice, so they do not extend the wait.
    answer(holder.makeRequest(version, ms(500)), ms(500));
    BOOST_TEST(
        (leaseTable.sendingEndedFrom(lower, s1) == ms(0) + stretched(1200ms, terms.driftPpm)));
    BOOST_TEST((leaseTable.workEndedFrom(lower, s1)
                == leaseTable.sendingEndedFrom(lower, s1) + stretched(500ms, terms.driftPpm)));
    leaseTable.expire(ms(1000));
    BOOST_TEST(!leaseTable.isIdle(lower, s1));
}

BOOST_FIXTURE_TEST_CASE(confirmed_stop_waits_for_its_flights_only, Fixture)
{
    renew(ms(0));
    query.callerDeadline = ms(100);
    const auto allowed = std::get<DispatchAllowed>(holder.checkDispatch(query, ms(10)));
    const FlightId flight = holder.startFlight(query, allowed);
    leaseTable.stop(d1, lower, s1);
    renew(ms(20));
    renew(ms(30));
    BOOST_TEST((leaseTable.workEndedFrom(lower, s1) > ms(600)));
    BOOST_TEST((leaseTable.workEndedFrom(lower, s1) < ms(602)));
    BOOST_TEST(!holder.needsPull());
    holder.endFlight(flight);
    BOOST_TEST(holder.needsPull());
    renew(ms(40));
    BOOST_TEST(leaseTable.isIdle(lower, s1));
    BOOST_TEST((leaseTable.workEndedFrom(lower, s1) <= ms(40)));
}

BOOST_FIXTURE_TEST_CASE(withdrawn_stop_restores_only_its_own_right, Fixture)
{
    const Fence later{1, 2};
    renew(ms(0));
    holder.startFlight(query, std::get<DispatchAllowed>(holder.checkDispatch(query, ms(1))));
    leaseTable.stop(d1, lower, s1);
    leaseTable.allow(d1, {lower, s1, later});
    leaseTable.stop(d1, lower, s1);
    BOOST_TEST(leaseTable.withdrawStops(d1, lower, s1, later));
    BOOST_REQUIRE_EQUAL(leaseTable.rights(d1).size(), 1U);
    BOOST_TEST((leaseTable.rights(d1)[0].fence == later));
    BOOST_TEST(!leaseTable.isIdle(lower, s1));
}

BOOST_FIXTURE_TEST_CASE(lease_ends_within_the_leadership_term, Fixture)
{
    const LeaseRequest request = holder.makeRequest(version, ms(0));
    const std::optional<LeaseReply> reply = leaseTable.answer(request, version, ms(0), ms(400));
    BOOST_TEST((reply.value().length == 400ms));
    const LeaseRequest next = holder.makeRequest(version, ms(400));
    BOOST_TEST(!leaseTable.answer(next, version, ms(400), ms(400)).has_value());
}

BOOST_FIXTURE_TEST_CASE(outdated_versions_are_rejected, Fixture)
{
    renew(ms(0));
    LeaseReply old = answer(holder.makeRequest(version, ms(10)), ms(10));
    old.assignmentVersion = {0, 9};
    BOOST_TEST((holder.accept(old, ms(11)) == LeaseReplyStatus::Outdated));
    BOOST_TEST((holder.leaseEnd().value() < ms(1200)));
    query.routedBy = {2, 1};
    query.server = s2;
    BOOST_TEST((refusal(ms(12)) == DispatchRefusal::UnknownVersion));
    query.routedBy = version;
    BOOST_TEST((refusal(ms(12)) == DispatchRefusal::NotAssigned));
    query.key = 150;
    BOOST_TEST((refusal(ms(12)) == DispatchRefusal::NotManager));
}

BOOST_AUTO_TEST_CASE(changes_split_slices_where_owners_differ)
{
    const Assignment now{{}, version, {{catalogue, {0, 199}, s1, version}}, {{s1, d1}, {s2, d1}}};
    Assignment wanted = now;
    wanted.slices = {{catalogue, {0, 99}, s1, {}}, {catalogue, {100, 299}, s2, {}}};
    OwnershipMap owned(now);
    const std::vector<PieceChange> changes = owned.changesTo(OwnershipMap(wanted), 1);
    BOOST_REQUIRE_EQUAL(changes.size(), 2U);
    BOOST_TEST((changes[0] == PieceChange{upper, s1, d1, version, s2, d1}));
    BOOST_TEST((changes[1].piece.range == SliceRange{200, 299}));
    BOOST_TEST(changes[1].from.isEmpty());
    owned.apply({{upper, s2, d1, {1, 2}}});
    BOOST_TEST((owned.covering(lower).value().server == s1));
    BOOST_TEST((owned.covering(upper).value().fence == Fence{1, 2}));
    BOOST_TEST(owned.changesTo(OwnershipMap(now), 2).size() == 2U);
}

BOOST_AUTO_TEST_CASE(attendance_is_balanced_and_stable)
{
    const std::set<ServerName> servers{ServerName("a"), ServerName("b"), ServerName("c"),
                                       ServerName("d"), ServerName("e"), ServerName("f")};
    ServerManagerTable table;
    table.fit(servers, {d1, Incarnation("d2"), Incarnation("d3")});
    const std::vector<ManagedServer> first(table.managedServers().begin(),
                                           table.managedServers().end());
    table.fit(servers, {d1, Incarnation("d3")});
    int kept = 0;
    std::map<Incarnation, int> loads;
    for (std::size_t i = 0; i < first.size(); ++i) {
        kept += first[i] == table.managedServers()[i] ? 1 : 0;
        ++loads[table.managedServers()[i].manager];
    }
    BOOST_TEST(kept == 4);
    BOOST_TEST(loads[d1] == 3);
    table.fit(servers, {});
    BOOST_TEST(table.managedServers().size() == 6U);
}

BOOST_AUTO_TEST_CASE(recovery_starts_from_the_highest_assignment_and_waits)
{
    const Assignment row{{}, {1, 3}, {{catalogue, {0, 199}, s1, {1, 3}}}, {}};
    Assignment view = row;
    view.version = {1, 4};
    view.slices = {{catalogue, {0, 199}, s2, {1, 4}}};
    AssignmentRecovery recovery(row, ms(100), ms(300));
    recovery.setAsked({d1}, {s1});
    recovery.addView(d1, view);
    BOOST_TEST(!recovery.result(ms(200)).has_value());
    const SliceOwner grant{catalogue, {0, 99}, s1, {1, 5}};
    recovery.addGrants(s1, {&grant, 1});
    BOOST_TEST(!recovery.result(ms(99)).has_value());
    const Assignment start = recovery.result(ms(100)).value();
    BOOST_TEST((start.version == Fence{1, 4}));
    BOOST_REQUIRE_EQUAL(start.slices.size(), 2U);
    BOOST_TEST((start.slices[0] == grant));
    BOOST_TEST((start.slices[1].server == s2));
    BOOST_TEST((recovery.highest() == Fence{1, 5}));
}

namespace {

/** A handover whose orders and commits are confirmed immediately, and the daemon d1. */
struct HandoverFixture
{
    RoutingLeaseTable leaseTable{{}, 1};
    Handover handover{{}, 1, Assignment{}, {}, leaseTable};
    RoutingLeaseHolder holder{d1, {}};

    HandoverFixture()
    {
        drive(LeadershipExtended{leadershipEnd}, ms(0));
    }

    void drive(const HandoverEvent &event, Instant now)
    {
        for (const HandoverAction &action : handover.handle(event, now)) {
            if (const auto *order = std::get_if<ServerOrder>(&action))
                drive(OrderConfirmed{order->order, 0}, now);
            if (const auto *commit = std::get_if<CommitAssignment>(&action))
                drive(CommitCompleted{commit->commit, CommitOutcome::Committed}, now);
        }
    }

    void want(const ServerName &server, Instant now)
    {
        drive(
            WantedAssignmentChanged{
                {{}, {}, {{catalogue, {0, 99}, server, {}}}, {{s1, d1}, {s2, d1}}}},
            now);
    }

    void pull(Instant now)
    {
        const LeaseRequest request = holder.makeRequest(handover.version(), now);
        holder.accept(leaseTable.answer(request, handover.version(), now, leadershipEnd).value(),
                      now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(outage_returns_a_slice_whose_stop_was_just_confirmed, HandoverFixture)
{
    want(s1, ms(100));
    pull(ms(101));
    want(s2, ms(200));
    pull(ms(201));
    pull(ms(202));
    BOOST_TEST(holder.rights().empty());
    drive(PlatformOutageChanged{true}, ms(203));
    pull(ms(204));
    BOOST_REQUIRE_EQUAL(holder.rights().size(), 1U);
    BOOST_TEST((holder.rights()[0].server == s1));
}
