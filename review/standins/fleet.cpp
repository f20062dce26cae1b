#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <limits>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::string_view recordTable = "servers";
constexpr Milliseconds workStep{5};
constexpr Milliseconds clientTimeout{4000};
constexpr double maxDoubleHoldSeconds = 0.5;
constexpr int sampledKeyStep = 128;
constexpr int firstOctet = 100;
constexpr int octetCount = 100;
/** Two thirds of the requests are for so many keys. */
constexpr int busyKeys = 8192;
/** Requests that each daemon has to serve in a row to count as serving. */
constexpr int servedInARow = 6;

std::string rangeText(int first, int last)
{
    return std::to_string(first) + '-' + std::to_string(last);
}

} // namespace

ServerRun::ServerRun(Fleet &fleet, ServerSpec spec, int port, int number, double cutUntil)
    : m_fleet(fleet)
    , m_spec(std::move(spec))
    , m_number(number)
    , m_server(
          std::make_unique<HttpServer>(m_spec.ip, port,
                                       [this](Connection &connection, const HttpMessage &message) {
                                           serve(connection, message);
                                       }))
    , m_port(m_server->port())
    , m_cutUntil(cutUntil)
{
    m_beats = std::thread{[this] {
        beat();
    }};
}

ServerRun::~ServerRun()
{
    kill();
    m_beats.join();
}

const ServerSpec &ServerRun::spec() const
{
    return m_spec;
}

int ServerRun::port() const
{
    return m_port;
}

int ServerRun::number() const
{
    return m_number;
}

void ServerRun::kill()
{
    {
        const std::lock_guard lock{m_fleet.m_mutex};
        if (!m_isUp)
            return;
        m_isUp = false;
    }
    m_server.reset();
    m_fleet.record().write("server %s run %d ended", m_spec.id.c_str(), m_number);
}

void ServerRun::cutFromStore()
{
    const std::lock_guard lock{m_fleet.m_mutex};
    m_cutUntil = std::numeric_limits<double>::infinity();
    m_fleet.record().write("server %s run %d is cut from the store", m_spec.id.c_str(), m_number);
}

void ServerRun::drain()
{
    {
        const std::lock_guard lock{m_fleet.m_mutex};
        m_isDraining = true;
        m_fleet.record().write("server %s run %d drains", m_spec.id.c_str(), m_number);
    }
}

void ServerRun::repeatAnswerBeforeRelease()
{
    const std::lock_guard lock{m_fleet.m_mutex};
    m_repeatsAnswer = true;
}

int ServerRun::answerCount() const
{
    const std::lock_guard lock{m_fleet.m_mutex};
    return m_answers;
}

/** Writes the record at the start, at each heartbeat, and when the server begins to drain. */
void ServerRun::beat()
{
    double writtenAt = -1.0;
    bool wasDraining = false;
    for (;;) {
        {
            const std::lock_guard lock{m_fleet.m_mutex};
            if (!m_isUp)
                return;
            const bool isDue = writtenAt < 0.0 || wasDraining != m_isDraining
                || nowSeconds() - writtenAt >= m_fleet.m_settings.heartbeatSeconds;
            if (isDue && nowSeconds() >= m_cutUntil) {
                Json::Value json;
                json["service"] = m_spec.service;
                json["address"] = m_spec.ip + ':' + std::to_string(m_port);
                json["zone"] = m_spec.zone;
                json["version"] = "v1";
                json["slots"] = m_spec.slots;
                json["state"] = m_isDraining ? "draining" : "ready";
                json["coldRemainingS"] = 0;
                json["seq"] = ++m_sequence;
                if (m_spec.bornMs > 0)
                    json["born"] = Json::Int64{m_spec.bornMs};
                // The store keeps the entry as it is while only its count changes.
                const bool isListed = m_fleet.m_writtenAt.contains(m_spec.id);
                if (m_sequence == 1 || wasDraining != m_isDraining || !isListed)
                    m_fleet.m_store.put(std::string{recordTable}, m_spec.id, toText(json));
                m_fleet.m_writtenAt[m_spec.id] = nowSeconds();
                writtenAt = nowSeconds();
                wasDraining = m_isDraining;
            }
        }
        std::this_thread::sleep_for(Milliseconds{10});
    }
}

void ServerRun::serve(Connection &connection, const HttpMessage &message)
{
    const std::string target = message.field("X-Bulrushswitch-Target-Instance");
    const std::string path = message.target();
    if (!target.empty() && target != m_spec.id) {
        connection.send(
            httpAnswer(421,
                       {{"X-Bulrushswitch-Instance-Id", m_spec.id},
                        {"X-Bulrushswitch-Request-Id", message.field("X-Bulrushswitch-Request-Id")},
                        {"X-Bulrushswitch-Not-Executed", "1"}},
                       ""));
    } else if (path == "/api/grant") {
        grant(connection, message);
    } else if (path == "/api/release") {
        release(connection, message);
    } else if (path == "/health") {
        connection.send(httpAnswer(
            m_isDraining ? 503 : 200,
            {{"X-Bulrushswitch-Instance-Id", m_spec.id}, {"X-Bulrushswitch-Server-Load", load()}},
            ""));
    } else {
        work(connection, message);
    }
}

void ServerRun::grant(Connection &connection, const HttpMessage &message)
{
    const Json::Value json = parsedJson(message.body);
    const int first = json["from"].asInt();
    const int last = json["target"].asInt();
    const std::uint64_t fence = json["fence"].asUInt64();
    bool isGranted = true;
    {
        const std::lock_guard lock{m_fleet.m_mutex};
        if (!m_isUp)
            return;
        for (int key = first; key <= last; ++key)
            isGranted = isGranted && m_highestFence[key] <= fence;
        const double until = nowSeconds() + json["holdS"].asDouble();
        bool isNew = false;
        for (int key = first; isGranted && key <= last; ++key) {
            isNew = isNew || m_heldUntil[key] < nowSeconds() || m_highestFence[key] < fence;
            m_highestFence[key] = fence;
            m_heldUntil[key] = until;
            m_grantedUntil[key] = until;
        }
        ++m_answers;
        if (isNew || !isGranted)
            m_fleet.record().write("server %s run %d grant %s fence %llu: %s", m_spec.id.c_str(),
                                   m_number, rangeText(first, last).c_str(),
                                   static_cast<unsigned long long>(fence),
                                   isGranted ? "granted" : "refused, a higher fence was seen");
        if (isGranted)
            m_fleet.checkGrant(*this, first, last, fence);
    }
    connection.lastOrderAnswer = httpAnswer(isGranted ? 200 : 409, {}, "");
    connection.send(connection.lastOrderAnswer);
}

void ServerRun::release(Connection &connection, const HttpMessage &message)
{
    const Json::Value json = parsedJson(message.body);
    const int first = json["from"].asInt();
    const int last = json["target"].asInt();
    const std::uint64_t fence = json["fence"].asUInt64();
    const auto running = [&] {
        return std::ranges::count_if(
            m_running, [&](const Work &work) { return work.key >= first && work.key <= last; });
    };
    bool isRepeated = false;
    {
        const std::lock_guard lock{m_fleet.m_mutex};
        for (int key = first; key <= last; ++key) {
            m_highestFence[key] = std::max(m_highestFence[key], fence);
            m_heldUntil[key] = 0.0;
        }
        isRepeated = m_repeatsAnswer && !connection.lastOrderAnswer.empty();
        m_repeatsAnswer = m_repeatsAnswer && !isRepeated;
        m_fleet.record().write("server %s run %d release %s fence %llu arrives, %d at work%s",
                               m_spec.id.c_str(), m_number, rangeText(first, last).c_str(),
                               static_cast<unsigned long long>(fence), static_cast<int>(running()),
                               isRepeated ? "; the answer before is sent once more" : "");
    }
    if (isRepeated)
        connection.send(connection.lastOrderAnswer);
    for (;;) {
        {
            const std::lock_guard lock{m_fleet.m_mutex};
            if (!m_isUp || connection.isClosedByPeer())
                return;
            if (running() == 0)
                break;
        }
        std::this_thread::sleep_for(workStep);
    }
    m_fleet.record().write("server %s run %d release %s answered", m_spec.id.c_str(), m_number,
                           rangeText(first, last).c_str());
    connection.lastOrderAnswer =
        httpAnswer(200, {{"X-Bulrushswitch-Handover", "from-" + m_spec.id}}, "");
    connection.send(connection.lastOrderAnswer);
    const std::lock_guard lock{m_fleet.m_mutex};
    ++m_answers;
}

std::string ServerRun::load() const
{
    const std::lock_guard lock{m_fleet.m_mutex};
    return std::to_string(m_running.size()) + ',' + std::to_string(m_waiting) + ','
        + std::to_string(m_spec.slots);
}

void ServerRun::refuse(Connection &connection, const HttpMessage &message, int status)
{
    {
        const std::lock_guard lock{m_fleet.m_mutex};
        ++m_answers;
    }
    connection.send(
        httpAnswer(status,
                   {{"X-Bulrushswitch-Request-Id", message.field("X-Bulrushswitch-Request-Id")},
                    {"X-Bulrushswitch-Not-Executed", "1"},
                    {"X-Bulrushswitch-Server-Load", load()}},
                   ""));
}

void ServerRun::work(Connection &connection, const HttpMessage &message)
{
    static std::atomic<unsigned> seed{1};
    thread_local std::mt19937 random{seed++};
    const std::string id = message.field("X-Bulrushswitch-Request-Id");
    const std::string keyText = message.field("X-Bulrushswitch-Shard-Key");
    const int key = keyText.empty() ? -1 : std::atoi(keyText.c_str());
    const double deadline =
        nowSeconds() + std::atof(message.field("X-Bulrushswitch-Deadline-Ms").c_str()) / 1000.0;
    const auto holds = [&] {
        return !m_spec.isSharded || (key >= 0 && m_heldUntil[key] > nowSeconds());
    };
    std::list<Work>::iterator entry;
    bool isWaiting = false;
    for (;;) {
        {
            const std::lock_guard lock{m_fleet.m_mutex};
            if (!m_isUp || connection.isClosedByPeer()) {
                m_waiting -= isWaiting ? 1 : 0;
                return;
            }
            int refusal = holds() ? 0 : 421;
            if (!isWaiting && m_waiting >= m_spec.queueLimit)
                refusal = 503;
            if (nowSeconds() > deadline)
                refusal = 503;
            if (refusal == 0 && static_cast<int>(m_running.size()) < m_spec.slots) {
                m_waiting -= isWaiting ? 1 : 0;
                entry = m_running.insert(m_running.end(), Work{key, nowSeconds()});
                break;
            }
            if (refusal != 0) {
                m_waiting -= isWaiting ? 1 : 0;
                refuse(connection, message, refusal);
                return;
            }
            m_waiting += isWaiting ? 0 : 1;
            isWaiting = true;
        }
        std::this_thread::sleep_for(workStep);
    }
    m_fleet.record().write("server %s run %d begins %s key %d", m_spec.id.c_str(), m_number,
                           id.c_str(), key);
    std::uniform_int_distribution<long> duration{m_spec.minWork.count(), m_spec.maxWork.count()};
    const Instant end = Clock::now() + Milliseconds{duration(random)};
    bool isDropped = false;
    while (!isDropped && Clock::now() < end) {
        std::this_thread::sleep_for(workStep);
        isDropped = connection.isClosedByPeer();
    }
    {
        const std::lock_guard lock{m_fleet.m_mutex};
        m_running.erase(entry);
        ++m_answers;
        if (!m_isUp || isDropped)
            return;
    }
    m_fleet.record().write("server %s run %d ends %s key %d", m_spec.id.c_str(), m_number,
                           id.c_str(), key);
    connection.send(httpAnswer(200,
                               {{"X-Bulrushswitch-Request-Id", id},
                                {"X-Bulrushswitch-Response-Stamp", "stamp-" + id},
                                {"X-Bulrushswitch-Server-Load", load()}},
                               "server=" + m_spec.id + " request=" + id));
}

Fleet::Fleet(FleetSettings settings)
    : m_settings(std::move(settings))
    , m_record(m_settings.recordPath)
    , m_store("127.77.0.1")
{
    ::signal(SIGPIPE, SIG_IGN);
    m_expiry = std::thread{[this] {
        expireRecords();
    }};
    m_sampler = std::thread{[this] {
        sampleHolders();
    }};
}

Fleet::~Fleet()
{
    stopClients();
    m_isEnding = true;
    for (const Daemon &daemon : m_daemons) {
        ::kill(daemon.pid, SIGCONT);
        ::kill(daemon.pid, SIGKILL);
        ::waitpid(daemon.pid, nullptr, 0);
    }
    m_expiry.join();
    m_sampler.join();
    m_record.write("answered with success: %d, other ends: %d", m_successes.load(),
                   m_failures.load());
    m_runs.clear();
}

void Fleet::writeConfig(const std::string &sharded, const std::string &plain)
{
    Json::Value json;
    json["version"] = "00000001";
    for (const std::string &name : {sharded, plain}) {
        Json::Value service;
        service["name"] = name;
        service["healthPath"] = "/health";
        service["maxConns"] = 110;
        service["protocol"] = "h1";
        service["tls"] = false;
        if (name == sharded) {
            service["sharded"] = true;
            service["warmupS"] = 3.0;
            service["grants"] = "direct";
        }
        json["services"].append(service);
    }
    json["limits"]["headerBytes"] = 16384;
    json["limits"]["bodyBytes"] = 67108864;
    json["limits"]["headerTimeoutS"] = 3;
    json["limits"]["idleTimeoutS"] = 15;
    Json::Value host;
    host["host"] = "shop.example";
    for (const bool isRead : {true, false}) {
        Json::Value route;
        route["name"] = isRead ? "read" : "pay";
        route["prefix"] = isRead ? "/read/" : "/pay/";
        route["kind"] = isRead ? "safe" : "unsafe";
        route["timeoutS"] = 4;
        route["targetLatencyS"] = 0.6;
        route["priority"] = isRead ? 2 : 1;
        route["service"] = isRead ? sharded : plain;
        route["maxAttempts"] = 2;
        host["paths"].append(route);
    }
    json["hosts"].append(host);
    m_store.put("op", "config", toText(json));
}

std::shared_ptr<ServerRun> Fleet::startServer(const ServerSpec &spec, int port, double cutUntil)
{
    const std::lock_guard lock{m_mutex};
    const int number = static_cast<int>(m_runs.size()) + 1;
    auto run = std::make_shared<ServerRun>(*this, spec, port, number, cutUntil);
    m_runs.push_back(run);
    m_record.write("server %s run %d started on %s:%d, born %lld", spec.id.c_str(), number,
                   spec.ip.c_str(), run->port(), static_cast<long long>(spec.bornMs));
    return run;
}

void Fleet::startDaemons()
{
    int zoneNumber = 0;
    for (const std::string &zone : m_settings.zones) {
        ++zoneNumber;
        for (int i = 1; i <= m_settings.hostsPerZone; ++i) {
            const std::string ip = "127." + std::to_string(firstOctet + ::getpid() % octetCount)
                + '.' + std::to_string(zoneNumber) + '.' + std::to_string(i);
            const auto address = [&ip] {
                return ip + ':' + std::to_string(freePort(ip));
            };
            Daemon daemon{"front-" + zone + '-' + std::to_string(i), address(), address(), -1};
            const std::string path = m_settings.folder + '/' + daemon.host + ".yaml";
            std::ofstream{path} << "host: " << daemon.host << "\ndomain: " << zone << "\nstore: \""
                                << m_store.address() << "\"\naddresses:\n  callers: \""
                                << daemon.callers << "\"\n  peers: \"" << address()
                                << "\"\n  relays: \"" << address() << "\"\n  operators: \""
                                << daemon.operators << "\"\n  metrics: \"" << address()
                                << "\"\nprocessors: 0.2\nlinkMegabitsPerSecond: 1000.0\n"
                                << "serverDrainSeconds: 2\nconfigInForceSeconds: 2\n"
                                << "shutdownGraceSeconds: 6\nretries:\n  slack: 56\n  ratio: 0.2\n";
            const std::string log = m_settings.folder + '/' + daemon.host + ".log";
            daemon.pid = ::fork();
            if (daemon.pid == 0) {
                ::prctl(PR_SET_PDEATHSIG, SIGKILL);
                const int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
                ::dup2(descriptor, STDOUT_FILENO);
                ::dup2(descriptor, STDERR_FILENO);
                ::execl(m_settings.program.c_str(), m_settings.program.c_str(), "--settings",
                        path.c_str(), nullptr);
                ::_exit(127);
            }
            m_record.write("daemon %s started, process %d", daemon.host.c_str(),
                           static_cast<int>(daemon.pid));
            m_daemons.push_back(std::move(daemon));
        }
    }
}

bool Fleet::waitUntilServing(Milliseconds limit)
{
    const Instant end = Clock::now() + limit;
    int number = 0;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        int inARow = 0;
        while (inARow < servedInARow) {
            const int key = (number * 4099) % keyCount;
            const std::string id = "probe-" + std::to_string(++number);
            if (readKey(m_daemons[i].callers, key, id).status == 200) {
                ++inARow;
                continue;
            }
            inARow = 0;
            if (Clock::now() > end)
                return false;
            std::this_thread::sleep_for(Milliseconds{50});
        }
    }
    m_record.write("all daemons serve");
    return true;
}

void Fleet::startClients(int threads)
{
    for (int i = 0; i < threads; ++i)
        m_clients.emplace_back([this, i] { runClient(i); });
}

void Fleet::stopClients()
{
    m_areClientsEnding = true;
    for (std::thread &client : m_clients)
        client.join();
    m_clients.clear();
}

std::size_t Fleet::daemonCount() const
{
    return m_daemons.size();
}

pid_t Fleet::daemonPid(std::size_t index) const
{
    return m_daemons.at(index).pid;
}

std::string Fleet::callersAddress(std::size_t index) const
{
    return m_daemons.at(index).callers;
}

std::string Fleet::readyAddress(std::size_t index) const
{
    return m_daemons.at(index).operators;
}

int Fleet::violationCount() const
{
    return m_violations;
}

int Fleet::successCount() const
{
    return m_successes;
}

Record &Fleet::record()
{
    return m_record;
}

void Fleet::violation(const std::string &rule, const std::string &text)
{
    ++m_violations;
    m_record.write("BROKEN %s: %s", rule.c_str(), text.c_str());
}

void Fleet::checkGrant(ServerRun &holder, int first, int last, std::uint64_t fence)
{
    std::vector<KeyHistory> &history = m_histories[holder.m_spec.service];
    history.resize(keyCount);
    int lowKeys = 0;
    int example = -1;
    for (int key = first; key <= last; ++key) {
        KeyHistory &known = history[key];
        if (known.holder && known.holder != &holder && fence <= known.fence) {
            ++lowKeys;
            example = key;
        }
        if (fence >= known.fence)
            known = {&holder, fence};
    }
    if (lowKeys > 0) {
        std::ostringstream text;
        text << "run " << holder.m_number << " of " << holder.m_spec.id << " takes " << lowKeys
             << " keys of " << rangeText(first, last) << " (such as " << example << ") with fence "
             << fence << ", which another server had them with";
        violation("OWNER", text.str());
    }
    const double now = nowSeconds();
    for (const auto &other : m_runs) {
        if (other.get() == &holder || !other->m_isUp
            || other->m_spec.service != holder.m_spec.service)
            continue;
        for (const ServerRun::Work &work : other->m_running) {
            if (work.key < first || work.key > last || other->m_grantedUntil[work.key] <= now)
                continue;
            std::ostringstream text;
            text << "run " << holder.m_number << " of " << holder.m_spec.id << " is given key "
                 << work.key << " on which run " << other->m_number << " of " << other->m_spec.id
                 << " is at work since " << now - work.since << " s; its hold would have lasted "
                 << other->m_grantedUntil[work.key] - now << " s more";
            violation("OWNER", text.str());
        }
    }
}

/** Removes records that were not written for three heartbeats. */
void Fleet::expireRecords()
{
    while (!m_isEnding) {
        {
            const std::lock_guard lock{m_mutex};
            const double limit = 3 * m_settings.heartbeatSeconds + m_settings.recordLagSeconds;
            for (auto entry = m_writtenAt.begin(); entry != m_writtenAt.end();) {
                if (nowSeconds() - entry->second < limit) {
                    ++entry;
                    continue;
                }
                m_store.remove(std::string{recordTable}, entry->first);
                m_record.write("record of server %s expires", entry->first.c_str());
                entry = m_writtenAt.erase(entry);
            }
        }
        std::this_thread::sleep_for(Milliseconds{10});
    }
}

/** Looks for keys that two servers hold for longer than the rules allow. */
void Fleet::sampleHolders()
{
    std::map<std::pair<std::string, int>, double> since;
    while (!m_isEnding) {
        {
            const std::lock_guard lock{m_mutex};
            const double now = nowSeconds();
            for (const auto &[service, history] : m_histories) {
                for (int key = 0; key < keyCount; key += sampledKeyStep) {
                    const auto holders = std::ranges::count_if(m_runs, [&](const auto &run) {
                        return run->m_isUp && run->m_spec.service == service
                            && run->m_heldUntil[key] > now;
                    });
                    const std::pair<std::string, int> entry{service, key};
                    if (holders < 2) {
                        since.erase(entry);
                        continue;
                    }
                    const auto [place, isNew] = since.try_emplace(entry, now);
                    if (now - place->second > maxDoubleHoldSeconds) {
                        violation("OWNER", "two servers hold key " + std::to_string(key));
                        place->second = now + 1000.0;
                    }
                }
            }
        }
        std::this_thread::sleep_for(Milliseconds{20});
    }
}

ClientAnswer Fleet::readKey(const std::string &address, int key, const std::string &id)
{
    const std::string head = "GET /read/thing-" + std::to_string(key)
        + " HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushswitch-Request-Id: " + id
        + "\r\nX-Bulrushswitch-Deadline-Ms: " + std::to_string(clientTimeout.count())
        + "\r\nX-Bulrushswitch-Shard-Key: " + std::to_string(key) + "\r\n";
    return request(address, head, "", clientTimeout);
}

void Fleet::runClient(int index)
{
    std::mt19937 random{static_cast<unsigned>(index) + 1000U};
    std::uniform_int_distribution<int> keys{0, keyCount - 1};
    std::uniform_int_distribution<std::size_t> hosts{0, m_daemons.size() - 1};
    for (int number = 0; !m_areClientsEnding; ++number) {
        // Busy keys are close to one another.
        const bool isBusyKey = number % 3 != 0;
        const int key = isBusyKey ? keys(random) % busyKeys : keys(random);
        const std::size_t host = hosts(random);
        const std::string id = "c" + std::to_string(index) + '-' + std::to_string(number);
        const ClientAnswer answer = readKey(m_daemons[host].callers, key, id);
        ++(answer.status == 200 ? m_successes : m_failures);
        if (answer.status != 200) {
            m_record.write("client %s key %d at %s: status %d", id.c_str(), key,
                           m_daemons[host].host.c_str(), answer.status);
            std::this_thread::sleep_for(Milliseconds{250});
        }
    }
}

} // namespace review
