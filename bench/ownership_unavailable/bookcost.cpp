#include "bookcost.h"

#include "countingallocator.h"

#include "process/handover.h"
#include "process/routingleaseholder.h"

#include <array>
#include <cstdio>
#include <ctime>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

constexpr int slicesPerServer = 100;
constexpr int serversPerDaemon = 2;
const ServiceName service("catalogue");

double processorSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

ServerName serverName(int index)
{
    return ServerName("server-" + std::to_string(100'000 + index));
}

Incarnation daemonName(int server)
{
    return Incarnation("daemon-" + std::to_string(100'000 + server / serversPerDaemon));
}

Assignment makeWanted(int servers)
{
    Assignment wanted{DomainName("north"), {}, {}, {}};
    const int slices = servers * slicesPerServer;
    const KeyHash width = ~KeyHash{0} / static_cast<KeyHash>(slices);
    for (int slice = 0; slice < slices; ++slice) {
        const KeyHash begin = width * static_cast<KeyHash>(slice);
        wanted.slices.push_back(
            {service, {begin, begin + width - 1}, serverName(slice % servers), {}});
    }
    for (int server = 0; server < servers; ++server)
        wanted.managedServers.push_back({serverName(server), daemonName(server)});
    return wanted;
}

/** A domain leader's lease table and handover; all orders are answered immediately. */
class Steward
{
public:
    explicit Steward(int servers)
        : m_wanted(makeWanted(servers))
        , m_book({}, 1)
        , m_handover({}, 1, {DomainName("north"), {}, {}, {}}, {}, m_book)
    { }

    void drive(const HandoverEvent &event)
    {
        for (const HandoverAction &action : m_handover.handle(event, m_now)) {
            if (const auto *order = std::get_if<ServerOrder>(&action))
                m_next.emplace_back(OrderConfirmed{order->order, 0});
            if (const auto *commit = std::get_if<CommitAssignment>(&action))
                m_next.emplace_back(CommitCompleted{commit->commit, CommitOutcome::Committed});
        }
    }

    void settle()
    {
        while (!m_next.empty()) {
            for (const HandoverEvent &event : std::exchange(m_next, {}))
                drive(event);
        }
    }

    void start()
    {
        drive(LeadershipExtended{m_now + 1h});
        drive(WantedAssignmentChanged{m_wanted});
        settle();
    }

    void loseFirstServer()
    {
        const ServerName lost = serverName(0);
        int next = 0;
        for (SliceOwner &slice : m_wanted.slices) {
            if (slice.server == lost)
                slice.server = serverName(1 + next++ % 7);
        }
        drive(ServerLost{lost});
        drive(WantedAssignmentChanged{m_wanted});
        for (int tick = 0; tick < 500; ++tick) {
            m_now += 4ms;
            drive(HandoverTick{});
            settle();
        }
    }

    void pullAll(bool asksAll)
    {
        for (auto &[name, right] : m_daemons)
            pull(name, right, asksAll);
    }

    void addDaemons()
    {
        for (const ManagedServer &managedServer : m_wanted.managedServers)
            m_daemons.try_emplace(managedServer.manager, managedServer.manager,
                                  RoutingLeaseTimings{});
    }

    std::size_t daemonCount() const
    {
        return m_daemons.size();
    }
    std::size_t moveCount() const
    {
        return m_handover.moveCount();
    }

    void tick()
    {
        m_now += 1ms;
        drive(HandoverTick{});
    }

private:
    void pull(const Incarnation &, RoutingLeaseHolder &right, bool asksAll)
    {
        LeaseRequest request = right.makeRequest(m_handover.version(), m_now);
        if (asksAll)
            request.heldRights = {};
        const std::optional<LeaseReply> reply =
            m_book.answer(request, m_handover.version(), m_now, m_now + 1h);
        right.accept(reply.value(), m_now);
    }

    Assignment m_wanted;
    RoutingLeaseTable m_book;
    Handover m_handover;
    Instant m_now{1s};
    std::vector<HandoverEvent> m_next;
    std::map<Incarnation, RoutingLeaseHolder> m_daemons;
};

struct Cost
{
    double slices = 0;
    double bytes = 0;
    double startSeconds = 0;
    double tickSeconds = 0;
    double fullPullSeconds = 0;
    double renewSeconds = 0;
    double lossSeconds = 0;
};

template<typename Work>
double secondsOf(int repeats, const Work &work)
{
    const double before = processorSeconds();
    for (int i = 0; i < repeats; ++i)
        work();
    return (processorSeconds() - before) / repeats;
}

Cost measure(int servers)
{
    Cost cost;
    cost.slices = servers * slicesPerServer;
    const std::size_t before = allocatedBytes();
    Steward steward(servers);
    cost.startSeconds = secondsOf(1, [&] { steward.start(); });
    steward.tick();
    cost.bytes = static_cast<double>(allocatedBytes() - before);
    cost.tickSeconds = secondsOf(1000, [&] { steward.tick(); });
    steward.addDaemons();
    cost.fullPullSeconds = secondsOf(3, [&] { steward.pullAll(true); });
    cost.renewSeconds =
        secondsOf(20, [&] { steward.pullAll(false); }) / static_cast<double>(steward.daemonCount());
    cost.lossSeconds = secondsOf(1, [&] { steward.loseFirstServer(); });
    if (steward.moveCount() != 0)
        std::printf("  %zu moves were left\n", steward.moveCount());
    return cost;
}

} // namespace

void printBookCost()
{
    constexpr std::array sizes{14, 140, 1400};
    std::printf(
        "| slices | bytes a slice | first grant ns a slice | idle tick us | full replies ns a "
        "slice | renewal us | loss of a server ms |\n|---|---|---|---|---|---|---|\n");
    for (const int servers : sizes) {
        const Cost cost = measure(servers);
        std::printf("| %7.0f | %6.0f | %8.0f | %8.2f | %8.0f | %8.2f | %8.2f |\n", cost.slices,
                    cost.bytes / cost.slices, cost.startSeconds / cost.slices * 1e9,
                    cost.tickSeconds * 1e6, cost.fullPullSeconds / cost.slices * 1e9,
                    cost.renewSeconds * 1e6, cost.lossSeconds * 1e3);
        std::fflush(stdout);
    }
}
