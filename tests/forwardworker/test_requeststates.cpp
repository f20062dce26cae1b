#define BOOST_TEST_MODULE RequestStates

#include "forwardworker/blockingcaller.h"
#include "forwardworker/fulllistener.h"
#include "forwardworker/stateserver.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string_view>

using namespace bulrush;
using namespace bulrush::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

/** Callers wait for this long. */
constexpr auto deadline = 900ms;
/** A request is answered, or its connection closed, within this time after its deadline. */
constexpr auto lateness = 500ms;
/** Time for an event to take effect before servers are released. */
constexpr auto effectTime = 120ms;
/** Pairs that are played at a time. */
constexpr std::size_t playerCount = 12;

const std::string oncePath = "/once/x";
const std::string readPath = "/read/x";
/** More than the buffers of a connection hold. */
const std::string largeBody(std::size_t{12} << 20, 'x');

/** Nothing listens there. Ports that were free a moment ago may be a server's in another pair. */
const std::vector<Endpoint> refusingServers = {{"127.0.0.1", 1}, {"127.0.0.2", 1}};

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/** Waits until \a condition holds. \returns whether it does. */
bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit = 600ms)
{
    const auto end = Clock::now() + limit;
    while (!condition() && Clock::now() < end)
        std::this_thread::sleep_for(2ms);
    return condition();
}

/** Daemons and servers of one pair, and the caller whose request is in the pair's state. */
struct World
{
    World(Treatment treatment, std::string ownId)
        : id(std::move(ownId))
        , server(treatment)
    { }

    void send(const std::string &path, const std::string &body, bool isWhole = true)
    {
        caller.emplace(node.port());
        requestPath = path;
        requestBody = body;
        const std::string head = (body.empty() ? "GET " : "POST ") + path
            + " HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushswitch-Request-Id: " + id
            + "\r\nX-Bulrushswitch-Shard-Key: 7\r\nX-Bulrushswitch-Deadline-Ms: "
            + std::to_string(deadline.count())
            + (body.empty() ? "" : "\r\nContent-Length: " + std::to_string(body.size()))
            + "\r\n\r\n";
        caller->write(head);
        unwritten = body;
        if (isWhole)
            writeBody();
        answerBy = Clock::now() + deadline + lateness;
    }

    void writeBody()
    {
        caller->write(std::exchange(unwritten, {}));
    }

    /** Applies \a change to the state of the first daemon. */
    void changeState(const std::function<void(RoutingState &)> &change)
    {
        auto next = std::make_shared<RoutingState>(*state);
        change(*next);
        setState(next);
    }

    void setState(std::shared_ptr<RoutingState> next)
    {
        state = std::move(next);
        node.setState(state);
    }

    int runCount() const
    {
        return server.runCount() + other.runCount();
    }

    void release(Reply reply)
    {
        server.release(reply);
        other.release(Reply::Success);
    }

    /** The id of the request. */
    const std::string id;
    FullListener unreachable;
    StateServer server;
    /** Answers at once; gets requests only in some states. */
    StateServer other{Treatment::Hold};
    /** Knows the servers that the first daemon does not reach. */
    std::unique_ptr<TrafficNode> helper;
    /** Asked before \a helper if it exists; it reaches no server. */
    std::unique_ptr<TrafficNode> denier;
    TrafficNode node{"a1", {10.0, 100.0}};
    std::shared_ptr<RoutingState> state;
    std::optional<BlockingCaller> caller;
    std::string requestPath;
    std::string requestBody;
    std::string unwritten;
    Clock::time_point answerBy;
};

/** A state that a request can be in, and how it gets there. */
struct State
{
    std::string_view name;
    Treatment treatment;
    /** Brings the request into the state. \returns whether that succeeded. */
    std::function<bool(World &)> enter;
};

/** Something that happens while a request is in a state. */
struct Event
{
    std::string_view name;
    std::function<void(World &)> apply;
    Reply reply = Reply::Success;
    /** The server answers before the deadline. */
    bool isReleased = true;
};

bool serveDirect(World &world, const std::string &path, const std::string &body = {})
{
    world.setState(routingState({world.server.endpoint()}));
    std::this_thread::sleep_for(20ms);
    world.send(path, body);
    return waitFor([&] { return world.server.hasCopy(); });
}

bool serveKeyed(World &world)
{
    world.setState(keyedState(world.server.endpoint()));
    std::this_thread::sleep_for(20ms);
    world.send(oncePath, {});
    return waitFor([&] { return world.server.hasCopy(); });
}

/** Makes the first daemon reach no server, so that it relays to \a relays. */
void cutOff(World &world, const std::vector<RelayDaemon> &relays)
{
    auto state = routingState(refusingServers);
    state->relays = relays;
    world.setState(state);
    std::this_thread::sleep_for(20ms);
}

bool relayed(World &world)
{
    world.helper = std::make_unique<TrafficNode>("b1");
    world.helper->setState(routingState({world.server.endpoint()}));
    cutOff(world, {world.helper->relay()});
    world.send(oncePath, {});
    return waitFor([&] { return world.server.hasCopy(); });
}

bool relayedAfterADenial(World &world)
{
    world.denier = std::make_unique<TrafficNode>("a2");
    world.denier->setState(routingState(refusingServers));
    world.helper = std::make_unique<TrafficNode>("b1");
    world.helper->setState(routingState({world.server.endpoint()}));
    cutOff(world, {world.denier->relay(), world.helper->relay()});
    world.send(oncePath, {});
    return waitFor([&] { return world.server.hasCopy(); });
}

bool relayConnecting(World &world)
{
    cutOff(world, {{HostName{"b1"}, DomainName{"b"}, {"127.0.0.1", world.unreachable.port()}}});
    world.send(oncePath, {});
    std::this_thread::sleep_for(40ms);
    return true;
}

bool connecting(World &world)
{
    world.setState(routingState({{"127.0.0.1", world.unreachable.port()}}));
    std::this_thread::sleep_for(20ms);
    world.send(oncePath, {});
    std::this_thread::sleep_for(40ms);
    return true;
}

bool waitingForPermit(World &world)
{
    world.setState(routingState({world.server.endpoint()}));
    std::this_thread::sleep_for(20ms);
    if (world.node.send("/limit").status != 200)
        return false;
    world.send(oncePath, {});
    return waitFor([&] { return world.node.openPermitCount() > 0; });
}

bool queued(World &world)
{
    auto state = keyedState(world.server.endpoint());
    state->assignments.clear();
    world.setState(state);
    std::this_thread::sleep_for(20ms);
    world.send(oncePath, {});
    std::this_thread::sleep_for(40ms);
    return true;
}

bool bodyUnread(World &world)
{
    world.setState(routingState({world.server.endpoint()}));
    std::this_thread::sleep_for(20ms);
    world.send(oncePath, "body", false);
    std::this_thread::sleep_for(40ms);
    return true;
}

bool lostAndSentToAnother(World &world)
{
    world.setState(routingState({world.server.endpoint(), world.server.endpoint()}));
    std::this_thread::sleep_for(20ms);
    world.send(readPath, {});
    return waitFor([&] { return world.server.hasCopy(); });
}

bool answered(World &world)
{
    world.server.release(Reply::Success);
    return serveDirect(world, oncePath);
}

const std::vector<State> states = {
    {"body not read", Treatment::Hold, bodyUnread},
    {"queued", Treatment::Hold, queued},
    {"waiting for a permit", Treatment::HoldAndLimit, waitingForPermit},
    {"waiting for the owner's pause", Treatment::PauseFirst, serveKeyed},
    {"connecting", Treatment::Hold, connecting},
    {"partly written", Treatment::LeaveUnread,
     [](World &world) {
         return serveDirect(world, oncePath, largeBody);
     }},
    {"written", Treatment::Hold,
     [](World &world) {
         return serveDirect(world, oncePath);
     }},
    {"written, may be repeated", Treatment::Hold,
     [](World &world) {
         return serveDirect(world, readPath);
     }},
    {"written, has a key", Treatment::Hold, serveKeyed},
    {"answered in part", Treatment::HoldInPart,
     [](World &world) {
         return serveDirect(world, oncePath);
     }},
    {"waiting to be sent again after a denial", Treatment::RefuseFirst, serveKeyed},
    {"sent again after a denial", Treatment::RefuseFirst,
     [](World &world) {
         return serveKeyed(world) && waitFor([&] { return world.server.runCount() > 0; });
     }},
    {"sent again after a loss", Treatment::LoseFirst, lostAndSentToAnother},
    {"connecting to another daemon", Treatment::Hold, relayConnecting},
    {"with another daemon", Treatment::Hold, relayed},
    {"with another daemon, partly written", Treatment::LeaveUnread, relayed},
    {"with another daemon after a denial", Treatment::Hold, relayedAfterADenial},
    {"answered", Treatment::Hold, answered},
};

void quarantine(World &world)
{
    world.node.setQuarantine(quarantineOf(world.requestPath, world.requestBody));
}

void suspectElsewhere(World &world)
{
    const RequestFingerprint request{{world.requestBody.empty() ? "GET" : "POST", "shop.example",
                                      world.requestPath, world.requestBody}};
    world.node.setQuarantine(std::make_shared<const Quarantine>(
        Quarantine::Suspects{{request, {{ServerName{"c0"}}, false}}},
        std::set<RequestFingerprint>{request}));
}

void removeRoute(World &world)
{
    world.changeState([](RoutingState &state) {
        RoutingConfig config;
        config.version = 9;
        config.services = {{trafficService, false, 110}};
        state.routes = std::make_shared<const RouteTable>(std::move(config));
    });
}

void removeServers(World &world)
{
    world.changeState([](RoutingState &state) { state.servers.clear(); });
}

void drainServers(World &world)
{
    world.changeState([](RoutingState &state) {
        for (KnownServer &server : state.servers[trafficService]) {
            server.record.isDraining = true;
            server.drainsAfter = io::hostNow();
        }
    });
}

/** Gives the keys, and all other work, to another server. */
void moveToOther(World &world)
{
    const Endpoint endpoint = world.other.endpoint();
    world.changeState([&endpoint](RoutingState &state) {
        KnownServer server = state.servers[trafficService].front();
        server.record.id = ServerName{"p9"};
        server.record.address = endpoint;
        state.servers[trafficService] = {server};
        KeyAssignment assignment;
        assignment.service = trafficService;
        assignment.sequence = 2;
        assignment.ranges = {{{0, keyPositionCount - 1}, ServerName{"p9"}, 2, {}, {}, 0}};
        state.assignments[trafficService] = std::make_shared<const KeyAssignment>(assignment);
    });
}

const std::vector<Event> events = {
    {"deadline", [](World &) {}, Reply::Success, false},
    {"none",
     [](World &) {
     }},
    {"quarantined", quarantine},
    {"quarantined until the deadline", quarantine, Reply::Success, false},
    {"probed by another daemon", suspectElsewhere},
    {"route removed", removeRoute},
    {"server removed", removeServers},
    {"server drains", drainServers},
    {"moved to another server", moveToOther},
    {"permit refused",
     [](World &world) {
         world.node.answerPermits({PermitOutcome::Refused, 1s});
     }},
    {"permit granted late",
     [](World &world) {
         std::this_thread::sleep_for(300ms);
         world.node.answerPermits({PermitOutcome::Granted, 0s});
     }},
    {"permit granted after the deadline",
     [](World &world) {
         std::this_thread::sleep_for(deadline);
         world.node.answerPermits({PermitOutcome::Granted, 0s});
     }},
    {"shutdown",
     [](World &world) {
         world.node.shutDown();
     }},
    {"shutdown and quarantine",
     [](World &world) {
         world.node.shutDown();
         quarantine(world);
     }},
    {"caller closes",
     [](World &world) {
         world.caller->close();
     }},
    {"server closes", [](World &) {}, Reply::Close},
    {"server resets", [](World &) {}, Reply::Reset},
    {"server refuses twice", [](World &) {}, Reply::RefuseAgain},
    {"408 without a statement", [](World &) {}, Reply::Status408},
    {"421 without a statement", [](World &) {}, Reply::Status421},
    {"429 without a statement", [](World &) {}, Reply::Status429},
    {"503 without a statement", [](World &) {}, Reply::Status503},
    {"statement on 200", [](World &) {}, Reply::StatedOn200},
    {"statement on 500", [](World &) {}, Reply::StatedOn500},
    {"statement on 504", [](World &) {}, Reply::StatedOn504},
    {"statement without the id", [](World &) {}, Reply::StatedWithoutId},
    {"other daemon freezes",
     [](World &world) {
         if (world.helper)
             world.helper->stop();
     }},
    {"other daemon is lost",
     [](World &world) {
         world.helper.reset();
     }},
    {"other daemon is lost, then quarantined",
     [](World &world) {
         world.helper.reset();
         quarantine(world);
     }},
    {"other daemon quarantines",
     [](World &world) {
         if (world.helper)
             world.helper->setQuarantine(quarantineOf(world.requestPath, world.requestBody));
     }},
};

/** What came of one pair. */
struct Outcome
{
    bool isEntered = false;
    /** The status, 0 for a closed connection, nothing if the caller got no end. */
    std::optional<int> status;
    int runs = 0;
    bool hasCallerClosed = false;
};

Outcome play(const State &state, const Event &event, std::size_t number)
{
    World world{state.treatment, "pair-" + std::to_string(number)};
    Outcome outcome;
    outcome.isEntered = state.enter(world);
    if (!outcome.isEntered)
        return outcome;
    event.apply(world);
    std::this_thread::sleep_for(effectTime);
    if (!world.unwritten.empty())
        world.writeBody();
    if (event.isReleased)
        world.release(event.reply);
    outcome.hasCallerClosed = event.name == "caller closes";
    if (!outcome.hasCallerClosed)
        outcome.status = world.caller->readStatus(world.answerBy);
    // Copies that are still under way are run by now.
    world.release(event.reply);
    std::this_thread::sleep_for(effectTime);
    outcome.runs = world.runCount();
    return outcome;
}

/** \returns what is wrong with \a outcome, or "". */
std::string faultOf(const State &state, const Outcome &outcome)
{
    if (!outcome.isEntered)
        return "the state was not entered";
    if (!outcome.hasCallerClosed && !outcome.status)
        return "no answer in time";
    if (outcome.status && isPromise(*outcome.status) && outcome.runs > 0)
        return "promised not to run, and ran";
    const bool mayRepeat =
        state.treatment == Treatment::LoseFirst || state.name.ends_with("repeated");
    if (outcome.runs > 1 && !mayRepeat)
        return "ran twice";
    return {};
}

std::string text(const State &state, const Event &event, const Outcome &outcome)
{
    const std::string answer = outcome.hasCallerClosed ? "caller closed"
        : outcome.status                               ? std::to_string(*outcome.status)
                                                       : "none";
    return std::string{state.name} + " x " + std::string{event.name} + ": " + answer + ", runs "
        + std::to_string(outcome.runs);
}

} // namespace

BOOST_AUTO_TEST_CASE(noEventInAnyStateBreaksAPromise)
{
    std::atomic<std::size_t> next{0};
    std::mutex mutex;
    std::vector<std::string> lines;
    std::vector<std::string> faults;
    const std::size_t pairCount = states.size() * events.size();
    std::vector<std::thread> players;
    for (std::size_t i = 0; i < playerCount; ++i)
        players.emplace_back([&] {
            for (std::size_t pair = next++; pair < pairCount; pair = next++) {
                const State &state = states[pair / events.size()];
                const Event &event = events[pair % events.size()];
                const Outcome outcome = play(state, event, pair);
                const std::scoped_lock lock{mutex};
                lines.push_back(text(state, event, outcome));
                if (const std::string fault = faultOf(state, outcome); !fault.empty())
                    faults.push_back(lines.back() + ": " + fault);
            }
        });
    for (std::thread &player : players)
        player.join();
    BOOST_TEST(lines.size() == pairCount);
    for (const std::string &line : lines)
        BOOST_TEST_MESSAGE(line);
    for (const std::string &fault : faults)
        BOOST_ERROR(fault);
}
