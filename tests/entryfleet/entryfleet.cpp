#include "entryfleet/entryfleet.h"

#include <json/reader.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace bulrush::test {

namespace {

constexpr int keyCount = 65'536;
/**
 * Last part of the servers' address, from which no connection leaves: otherwise a connection could
 * use the port of a server that is about to restart.
 */
const std::string serverHostPart = "254";

constexpr const char *requestIdHeader = "X-Bulrushswitch-Request-Id";

std::string binaryPath(const std::string &name)
{
    return std::string{BULRUSH_BINARY_DIR} + '/' + name;
}

Json::Value service(const std::string &name, bool isKeyed)
{
    Json::Value json;
    json["name"] = name;
    json["healthPath"] = "/health";
    json["maxConns"] = 110;
    if (isKeyed)
        json["sharded"] = true;
    return json;
}

Json::Value route(const std::string &prefix, const std::string &kind, const std::string &service)
{
    Json::Value json;
    json["name"] = "route" + prefix;
    json["prefix"] = prefix;
    json["kind"] = kind;
    json["timeoutS"] = 3.0;
    json["targetLatencyS"] = 0.6;
    json["priority"] = 1;
    json["service"] = service;
    json["maxAttempts"] = 2;
    return json;
}

Json::Value splitRoute(const std::string &prefix, const std::map<std::string, int> &weights)
{
    Json::Value json = route(prefix, "unsafe", "");
    json.removeMember("service");
    for (const auto &[name, weight] : weights) {
        Json::Value part;
        part["service"] = name;
        part["weight"] = weight;
        json["trafficSplit"].append(part);
    }
    return json;
}

std::string hexadecimal(int number)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(number));
    return text.data();
}

} // namespace

EntryFleet::EntryFleet(std::vector<std::string> hosts)
    : m_hosts(std::move(hosts))
{
    static int fleets = 0;
    const int number = ++fleets;
    m_folder = (std::filesystem::temp_directory_path()
                / ("bulrush-entry-" + std::to_string(::getpid()) + '-' + std::to_string(number)))
                   .string();
    std::filesystem::create_directories(m_folder);
    m_ledger = std::make_unique<PromiseLedger>(m_folder + "/runs");
    // Each fleet gets its own loopback addresses, so that fixed ports never collide. The address
    // depends on the process id, where 25,000 successive ids differ, and on the number of the fleet
    // within the process.
    const int process = static_cast<int>(::getpid());
    m_prefix = "127." + std::to_string(128 + process % 100) + '.'
        + std::to_string(process / 100 % 250) + '.';
    m_firstHost = number % 30 * 8 + 1;

    std::vector<std::string> arguments{"--listen", "control=127.0.0.1:0"};
    for (const std::string &host : m_hosts) {
        arguments.emplace_back("--listen");
        arguments.push_back(host + "=127.0.0.1:0");
    }
    m_store = std::make_unique<ChildProcess>(binaryPath("store-standin"), arguments);
}

EntryFleet::~EntryFleet()
{
    m_daemons.clear();
    m_servers.clear();
    m_store.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void EntryFleet::startServers(int serviceMs)
{
    for (int i = 1; i <= 4; ++i)
        startServer(
            {"c" + std::to_string(i), "catalogue", i % 2 == 1 ? "a" : "b", true, serviceMs});
    startServer({"p1", "payments", "a", false, serviceMs});
    startServer({"p2", "payments", "b", false, serviceMs});
}

void EntryFleet::startServer(const ServerSpec &server)
{
    startServerProcess(server);
    writeRecord(server.id, "ready");
}

void EntryFleet::startServerProcess(const ServerSpec &server)
{
    std::vector<std::string> arguments{
        "--id",         server.id,
        "--listen",     server.address.empty() ? m_prefix + serverHostPart + ":0" : server.address,
        "--slots",      std::to_string(server.slots),
        "--service-ms", std::to_string(server.serviceMs),
        "--clock-ppm",  "20000",
        "--run-file",   m_ledger->runFile(server.id)};
    if (server.isKeyed)
        arguments.emplace_back("--keyed");
    if (server.hangsWhenFull)
        arguments.emplace_back("--hang-when-full");
    if (!server.crashOn.empty())
        arguments.insert(arguments.end(), {"--crash-on", server.crashOn});
    if (server.coldMs > 0)
        arguments.insert(arguments.end(),
                         {"--cold-ms", std::to_string(server.coldMs), "--cold-limit",
                          std::to_string(server.coldLimit)});
    m_serverSpecs[server.id] = server;
    m_servers[server.id] = std::make_unique<ChildProcess>(binaryPath("keyed-standin"), arguments);
}

void EntryFleet::startDaemon(const std::string &host)
{
    const std::string ip = addressOf(host);
    const std::string path = m_folder + '/' + host + ".yaml";
    std::ofstream{path} << "host: " << host << "\ndomain: " << host.front() << "\nstore: \""
                        << m_store->address(host) << "\"\naddresses:\n"
                        << "  callers: \"" << ip << ":8080\"\n  peers: \"" << ip
                        << ":8081\"\n  operators: \"" << ip << ":8082\"\n"
                        << "  relays: \"" << ip << ":8083\"\n"
                        << "  outgoing: \"" << ip << ":0\"\n";
    m_daemons[host] = std::make_unique<ChildProcess>(binaryPath("bulrushswitchd"),
                                                     std::vector<std::string>{"--settings", path});
}

std::string EntryFleet::addressOf(const std::string &host) const
{
    const auto place = std::ranges::find(m_hosts, host);
    return m_prefix + std::to_string(m_firstHost + (place - m_hosts.begin()));
}

void EntryFleet::startDaemons()
{
    for (const std::string &host : m_hosts)
        startDaemon(host);
}

void EntryFleet::waitUntilServing()
{
    for (const std::string &host : m_hosts) {
        if (!eventually([&] { return servesKeys(host); }))
            throw std::runtime_error(host + " never served all keys");
    }
}

ChildProcess &EntryFleet::daemon(const std::string &host)
{
    return *m_daemons.at(host);
}

ChildProcess &EntryFleet::server(const std::string &id)
{
    return *m_servers.at(id);
}

void EntryFleet::writeRecord(const std::string &id, const std::string &state)
{
    writeRecordOf(m_serverSpecs.at(id), server(id).address(), state);
}

Json::Value EntryFleet::recordJson(const ServerSpec &server, const std::string &address,
                                   const std::string &state)
{
    Json::Value value;
    value["service"] = server.service;
    value["address"] = address;
    value["zone"] = server.domain;
    value["version"] = "v1";
    value["slots"] = server.slots;
    value["state"] = state;
    value["coldRemainingS"] = server.coldMs / 1000.0;
    value["seq"] = m_nextRecordWrite++;
    if (server.startedAtMs > 0)
        value["born"] = Json::Int64{server.startedAtMs};
    return value;
}

void EntryFleet::writeRecordOf(const ServerSpec &server, const std::string &address,
                               const std::string &state)
{
    Json::Value row;
    row["table"] = "servers";
    row["key"] = server.id;
    row["value"] = recordJson(server, address, state);
    Json::Value json;
    json["put"].append(row);
    control(json);
}

void EntryFleet::removeRecord(const std::string &id)
{
    removeRow("servers", id);
}

void EntryFleet::rewriteAndRemoveRecord(const std::string &id)
{
    Json::Value row;
    row["table"] = "servers";
    row["key"] = id;
    Json::Value json;
    json["remove"].append(row);
    row["value"] = recordJson(m_serverSpecs.at(id), server(id).address(), "ready");
    json["put"].append(row);
    control(json);
}

void EntryFleet::removeDaemonRow(const std::string &host)
{
    removeRow("ownership", "daemon/" + host);
}

void EntryFleet::removeRow(const std::string &table, const std::string &key)
{
    Json::Value row;
    row["table"] = table;
    row["key"] = key;
    Json::Value json;
    json["remove"].append(row);
    control(json);
}

void EntryFleet::evacuate(const std::string &domain)
{
    Json::Value row;
    row["table"] = "op";
    row["key"] = "evacuate/" + domain;
    row["value"] = Json::Value{Json::objectValue};
    Json::Value json;
    json["put"].append(row);
    control(json);
}

void EntryFleet::endEvacuation(const std::string &domain)
{
    removeRow("op", "evacuate/" + domain);
}

void EntryFleet::writeRawRecord(const std::string &id, const std::string &value)
{
    Json::Value row;
    row["table"] = "servers";
    row["key"] = id;
    row["text"] = value;
    Json::Value json;
    json["put"].append(row);
    control(json);
}

void EntryFleet::restartServer(const std::string &id)
{
    restartServerBehindCut(id);
    writeRecord(id, "ready");
}

void EntryFleet::restartServerBehindCut(const std::string &id)
{
    ServerSpec next = m_serverSpecs.at(id);
    next.address = server(id).address();
    ++next.startedAtMs;
    m_servers.at(id)->kill();
    m_servers.erase(id);
    startServerProcess(next);
}

void EntryFleet::writeConfig(const std::vector<std::string> &additionalPrefixes)
{
    Json::Value paths{Json::arrayValue};
    paths.append(route("/read/", "safe", "catalogue"));
    paths.append(route("/pay/", "unsafe", "payments"));
    paths.append(route("/upload/", "upload", "payments"));
    for (const std::string &prefix : additionalPrefixes)
        paths.append(route(prefix, "safe", "payments"));
    if (!m_split.empty())
        paths.append(splitRoute("/split/", m_split));
    for (const Json::Value &additional : m_additionalRoutes)
        paths.append(additional);
    Json::Value host;
    host["host"] = "shop.example";
    host["paths"] = paths;
    Json::Value config;
    config["version"] = hexadecimal(m_version += 2);
    config["services"].append(service("catalogue", true));
    config["services"].append(service("payments", false));
    for (const auto &[name, weight] : m_split) {
        if (name != "payments")
            config["services"].append(service(name, false));
    }
    for (Json::Value &entry : config["services"]) {
        if (m_coldRate <= 0.0)
            continue;
        entry["coldPerS"] = m_coldRate;
        entry["coldStartS"] = std::chrono::duration<double>(m_coldDuration).count();
    }
    config["limits"]["headerBytes"] = 16'384;
    config["limits"]["bodyBytes"] = 67'108'864;
    config["limits"]["headerTimeoutS"] = 3;
    config["limits"]["idleTimeoutS"] = 15;
    config["hosts"].append(host);
    writeRawConfig(config.toStyledString());
}

void EntryFleet::splitTraffic(const std::map<std::string, int> &weights)
{
    m_split = weights;
}

void EntryFleet::addRoute(const std::string &prefix, const std::string &kind,
                          const std::string &service, std::chrono::seconds timeout)
{
    Json::Value additional = route(prefix, kind, service);
    additional["timeoutS"] = static_cast<double>(timeout.count());
    m_additionalRoutes.push_back(additional);
    if (kind != "safe")
        m_runOncePrefixes.push_back(prefix);
}

void EntryFleet::limitColdServers(double rate, std::chrono::milliseconds duration)
{
    m_coldRate = rate;
    m_coldDuration = duration;
}

void EntryFleet::writeRawConfig(const std::string &text)
{
    Json::Value row;
    row["table"] = "op";
    row["key"] = "config";
    std::istringstream{text} >> row["value"];
    Json::Value json;
    json["put"].append(row);
    control(json);
}

int EntryFleet::configVersion() const
{
    return m_version;
}

void EntryFleet::setStoreFault(const std::string &host, const std::string &mode, int loseAnswers,
                               int delayWrites)
{
    Json::Value json;
    json["faults"]["entrance"] = host;
    json["faults"]["mode"] = mode;
    json["faults"]["loseAnswers"] = loseAnswers;
    json["faults"]["delayWrites"] = delayWrites;
    json["faults"]["delayMs"] = 1500;
    control(json);
}

void EntryFleet::dropHistory()
{
    Json::Value json;
    json["dropHistory"] = true;
    control(json);
}

void EntryFleet::keepStoreCopy()
{
    Json::Value json;
    json["keepCopy"] = true;
    control(json);
}

void EntryFleet::restoreStoreCopy(bool areWaitsHanging)
{
    Json::Value json;
    json["restoreCopy"] = true;
    json["hangWaits"] = areWaitsHanging;
    control(json);
}

void EntryFleet::loseFeedAnswer(const std::string &host, const std::string &table)
{
    Json::Value json;
    json["faults"]["entrance"] = host;
    json["faults"]["mode"] = "ok";
    json["faults"]["loseFeedOf"] = table;
    control(json);
}

void EntryFleet::delayReads(const std::string &host, const std::string &table,
                            std::chrono::milliseconds delay)
{
    Json::Value json;
    json["faults"]["entrance"] = host;
    json["faults"]["mode"] = "ok";
    json["faults"]["delayReadsOf"] = table;
    json["faults"]["delayMs"] = Json::Int64{delay.count()};
    control(json);
}

std::uint64_t EntryFleet::storeCalls(const std::string &host)
{
    return control(Json::Value{Json::objectValue})["calls"][host].asUInt64();
}

void EntryFleet::injectAnswerFaults(const std::string &id, const std::string &mode, int count)
{
    Json::Value json;
    json["spoilAnswers"][mode] = count;
    m_http.post(server(id).address() + "/_control", json.toStyledString());
}

void EntryFleet::nameLimit(const std::string &id, const std::string &limit)
{
    Json::Value json;
    json["namedLimit"] = limit;
    m_http.post(server(id).address() + "/_control", json.toStyledString());
}

void EntryFleet::askForBackoff(const std::string &id, const std::string &retryAfter)
{
    Json::Value json;
    json["backoff"] = retryAfter;
    m_http.post(server(id).address() + "/_control", json.toStyledString());
}

void EntryFleet::refuseRequests(const std::string &id, int count, bool isTwice)
{
    Json::Value json;
    json["refuse"]["count"] = count;
    json["refuse"]["twice"] = isTwice;
    m_http.post(server(id).address() + "/_control", json.toStyledString());
}

void EntryFleet::announceLeaving(const std::string &id)
{
    Json::Value json;
    json["leaving"] = true;
    m_http.post(server(id).address() + "/_control", json.toStyledString());
}

void EntryFleet::partition(const std::string &id, const std::vector<std::string> &hosts,
                           Partition kind)
{
    Json::Value json;
    json["partitionedFrom"] = Json::Value{Json::arrayValue};
    for (const std::string &host : hosts)
        json["partitionedFrom"].append(addressOf(host));
    json["openConnections"] = kind == Partition::NewConnections ? "keep"
        : kind == Partition::ResetOpen                          ? "reset"
                                                                : "hang";
    m_http.post(server(id).address() + "/_control", json.toStyledString());
}

void EntryFleet::delayOrders(const std::string &id, int count, std::chrono::milliseconds delay)
{
    Json::Value json;
    json["lateOrders"] = count;
    json["lateMs"] = static_cast<Json::Int64>(delay.count());
    m_http.post(server(id).address() + "/_control", json.toStyledString());
}

std::int64_t EntryFleet::counter(const std::string &host, const std::string &name)
{
    const std::string text = page(host, "/metrics");
    const std::size_t place = ('\n' + text).find('\n' + name + ' ');
    return place == std::string::npos ? -1 : std::stoll(text.substr(place + name.size() + 1));
}

SyncHttpResult EntryFleet::send(const std::string &host, const std::string &method,
                                const std::string &path, std::optional<int> key,
                                const std::string &body, int deadlineMs)
{
    const SyncHttpRequest request = makeRequest(host, method, path, key, body, deadlineMs);
    const SyncHttpResult result = m_http.send(request);
    recordAnswer(request, result);
    return result;
}

void EntryFleet::recordAnswer(const SyncHttpRequest &request, const SyncHttpResult &result)
{
    for (const SyncHttpHeader &header : request.headers) {
        if (header.name == requestIdHeader)
            m_ledger->recordAnswer(header.value, result.status);
    }
}

SyncHttpRequest EntryFleet::makeRequest(const std::string &host, const std::string &method,
                                        const std::string &path, std::optional<int> key,
                                        const std::string &body, int deadlineMs)
{
    SyncHttpRequest request;
    request.method = method;
    request.url = callersAddress(host) + path;
    request.body = body;
    request.headers = {
        {"Host", "shop.example"},
        {requestIdHeader, "r" + std::to_string(m_nextRequest++)},
        {"X-Bulrushswitch-Deadline-Ms", std::to_string(deadlineMs)},
    };
    if (key)
        request.headers.push_back({"X-Bulrushswitch-Shard-Key", std::to_string(*key)});
    return request;
}

SyncHttpResult EntryFleet::read(const std::string &host, int key)
{
    return send(host, "GET", "/read/" + std::to_string(key), key);
}

std::string EntryFleet::lastRequestId() const
{
    return "r" + std::to_string(m_nextRequest - 1);
}

bool EntryFleet::servesKeys(const std::string &host, int count)
{
    for (int i = 0; i < count; ++i) {
        if (read(host, i * (keyCount / count)).status != 200)
            return false;
    }
    return true;
}

std::string EntryFleet::ownerOf(const std::string &host, int key)
{
    const SyncHttpResult result = read(host, key);
    const std::string mark = "server=";
    if (result.status != 200 || !result.body.starts_with(mark))
        return {};
    return result.body.substr(mark.size(), result.body.find(' ') - mark.size());
}

std::vector<RequestRun> EntryFleet::runs()
{
    std::vector<RequestRun> all;
    for (const auto &[id, process] : m_servers) {
        if (!process->isRunning())
            continue;
        const Json::Value json = recordOf(*process);
        for (const Json::Value &entry : json["runs"]) {
            RequestRun run{id, entry["request"].asString(), entry["key"].asInt64(),
                           entry["startUs"].asInt64(), entry["endUs"].asInt64()};
            if (run.endUs == 0)
                run.endUs = std::numeric_limits<std::int64_t>::max();
            all.push_back(std::move(run));
        }
    }
    std::ranges::sort(all, {}, &RequestRun::startUs);
    return all;
}

std::vector<RequestArrival> EntryFleet::arrivals(const std::string &id)
{
    std::vector<RequestArrival> all;
    const Json::Value json = recordOf(server(id));
    for (const Json::Value &entry : json["arrivals"])
        all.push_back({entry["from"].asString(), entry["request"].asString(),
                       std::chrono::microseconds{entry["atUs"].asInt64()},
                       entry["refused"].asBool()});
    return all;
}

std::uint64_t EntryFleet::lowestFence(const std::string &id)
{
    return recordOf(server(id))["lowestFence"].asUInt64();
}

std::uint64_t EntryFleet::highestFence(const std::string &id)
{
    return recordOf(server(id))["highestFence"].asUInt64();
}

std::string EntryFleet::firstOverlap()
{
    const std::vector<RequestRun> all = runs();
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (std::size_t j = i + 1; j < all.size() && all[j].startUs < all[i].endUs; ++j) {
            if (all[i].key >= 0 && all[i].key == all[j].key && all[i].server != all[j].server)
                return all[i].server + " and " + all[j].server + " on "
                    + std::to_string(all[i].key);
        }
    }
    return {};
}

std::vector<std::string> EntryFleet::repeatedRuns()
{
    std::set<std::string> seen;
    std::vector<std::string> repeated;
    for (const RequestRun &run : runs()) {
        if (!seen.insert(run.request).second)
            repeated.push_back(run.request);
    }
    return repeated;
}

std::string EntryFleet::page(const std::string &host, const std::string &path)
{
    return m_http.get(daemon(host).address("operators") + path).body;
}

int EntryFleet::postToPage(const std::string &host, const std::string &path)
{
    return m_http.post(daemon(host).address("operators") + path, {}).status;
}

std::string EntryFleet::planner()
{
    for (const auto &[host, process] : m_daemons) {
        if (process->isRunning() && page(host, "/status").find("planner: yes") != std::string::npos)
            return host;
    }
    return {};
}

std::string EntryFleet::callersAddress(const std::string &host)
{
    return daemon(host).address("callers");
}

bool EntryFleet::eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::minutes{1};
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return false;
}

Json::Value EntryFleet::recordOf(ChildProcess &server)
{
    return m_http.get(server.address() + "/_control").json();
}

Json::Value EntryFleet::control(const Json::Value &json)
{
    return m_http.post(m_store->address("control") + "/_control", json.toStyledString()).json();
}

} // namespace bulrush::test
