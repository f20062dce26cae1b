#include "world.h"

#include <json/json.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>

namespace world {

namespace {

const auto programStart = std::chrono::steady_clock::now();

[[noreturn]] void cannotRun(const std::string &why)
{
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(2);
}

sockaddr_in endpoint(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    const std::size_t last = text.find_last_not_of(" \t");
    return first == std::string::npos ? std::string{} : text.substr(first, last - first + 1);
}

std::string toBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    unsigned buffer = 0;
    int bits = 0;
    for (const unsigned char c : bytes) {
        buffer = buffer << 8U | c;
        for (bits += 8; bits >= 6; bits -= 6)
            text += digits[buffer >> (bits - 6) & 63U];
    }
    if (bits > 0)
        text += digits[buffer << (6 - bits) & 63U];
    while (text.size() % 4 != 0)
        text += '=';
    return text;
}

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream parts{target.substr(mark + 1)};
    for (std::string part; std::getline(parts, part, '&');) {
        const std::size_t equals = part.find('=');
        query[part.substr(0, equals)] =
            equals == std::string::npos ? std::string{} : decoded(part.substr(equals + 1));
    }
    return query;
}

Json::Value parsed(const std::string &text)
{
    Json::Value json;
    std::istringstream stream{text};
    Json::parseFromStream(Json::CharReaderBuilder{}, stream, &json, nullptr);
    return json;
}

std::string compact(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

std::string reasonOf(int status)
{
    return status == 200 ? "OK" : "Answer";
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - programStart).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

Record::Record(const std::string &path)
    : m_file(path)
{ }

void Record::line(const std::string &text)
{
    const std::lock_guard lock{m_mutex};
    char time[32];
    std::snprintf(time, sizeof time, "%9.4f ", now());
    m_file << time << text << std::endl;
}

std::string HttpMessage::field(const std::string &name) const
{
    const auto found = fields.find(lowerCase(name));
    return found == fields.end() ? std::string{} : found->second;
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

void Connection::reset()
{
    m_isReset = true;
    const linger abort{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::shutdown(m_descriptor, SHUT_RD);
}

bool Connection::fill(double until)
{
    for (;;) {
        if (m_isReset)
            return false;
        pollfd state{m_descriptor, POLLIN, 0};
        const double left = until - now();
        if (left <= 0)
            return false;
        if (::poll(&state, 1, static_cast<int>(std::min(left, 0.1) * 1000) + 1) > 0)
            break;
    }
    char buffer[16384];
    const ssize_t length = ::recv(m_descriptor, buffer, sizeof buffer, 0);
    if (length <= 0 || m_isReset)
        return false;
    m_bytes.append(buffer, static_cast<std::size_t>(length));
    return true;
}

std::optional<HttpMessage> Connection::read(double seconds, bool isHead)
{
    const double until = now() + seconds;
    std::size_t end = 0;
    while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    HttpMessage message;
    std::istringstream lines{m_bytes.substr(0, end + 2)};
    m_bytes.erase(0, end + 4);
    std::getline(lines, message.start);
    if (!message.start.empty() && message.start.back() == '\r')
        message.start.pop_back();
    std::istringstream words{message.start};
    if (message.start.starts_with("HTTP/")) {
        std::string version;
        words >> version >> message.status;
    } else {
        words >> message.method >> message.target;
    }
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            message.fields[lowerCase(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
    const std::string length = message.field("Content-Length");
    const std::size_t size = length.empty() || isHead ? 0 : std::stoul(length);
    while (m_bytes.size() < size) {
        if (!fill(until))
            return std::nullopt;
    }
    message.body = m_bytes.substr(0, size);
    m_bytes.erase(0, size);
    return message;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size() && !m_isReset) {
        const ssize_t length =
            ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (length <= 0)
            return false;
        sent += static_cast<std::size_t>(length);
    }
    return sent == bytes.size();
}

Listener::Listener(const std::string &ip, int port, Handler handler)
    : m_handler(std::move(handler))
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = endpoint(ip, port);
    socklen_t size = sizeof address;
    if (::bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(m_descriptor, 512) != 0)
        cannotRun("listening on " + ip + ':' + std::to_string(port) + ": " + std::strerror(errno));
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread{[this] {
        accept();
    }};
}

Listener::~Listener()
{
    stop();
}

void Listener::stop()
{
    if (m_isStopped.exchange(true))
        return;
    m_thread.join();
    ::close(m_descriptor);
    {
        const std::lock_guard lock{m_mutex};
        for (const auto &weak : m_connections) {
            if (const auto connection = weak.lock())
                connection->reset();
        }
    }
    while (m_threadCount > 0)
        sleepFor(0.001);
}

void Listener::accept()
{
    while (!m_isStopped) {
        pollfd state{m_descriptor, POLLIN, 0};
        if (::poll(&state, 1, 5) <= 0)
            continue;
        const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        auto connection = std::make_shared<Connection>(accepted);
        {
            const std::lock_guard lock{m_mutex};
            std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
            m_connections.push_back(connection);
        }
        ++m_threadCount;
        std::thread{[this, connection = std::move(connection)]() mutable {
            serve(connection);
            connection.reset();
            --m_threadCount;
        }}.detach();
    }
}

void Listener::serve(const std::shared_ptr<Connection> &connection)
{
    constexpr double idleSeconds = 10;
    while (!m_isStopped) {
        const auto request = connection->read(idleSeconds);
        if (!request)
            return;
        m_handler(*connection, *request);
    }
}

std::string response(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                     const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reasonOf(status) + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Store::Store(const std::string &ip, double heartbeat)
    : m_ip(ip)
    , m_heartbeat(heartbeat)
{
    m_listener = std::make_unique<Listener>(
        ip, 0,
        [this](Connection &connection, const HttpMessage &request) { serve(connection, request); });
    m_lapses = std::thread{[this] {
        while (!m_isStopped) {
            removeLapsedEntries();
            sleepFor(0.02);
        }
    }};
}

Store::~Store()
{
    m_isStopped = true;
    m_changed.notify_all();
    m_lapses.join();
    m_listener.reset();
}

std::string Store::address() const
{
    return m_ip + ':' + std::to_string(m_listener->port());
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock{m_mutex};
    write({{table, key, toBase64(value)}});
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    if (m_rows.contains({table, key}))
        write({{table, key, {}, 0, true}});
}

bool Store::hasRow(const std::string &table, const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    return m_rows.contains({table, key});
}

void Store::beat(const std::string &id, const std::string &content, std::uint64_t seq)
{
    const std::lock_guard lock{m_mutex};
    Entry &entry = m_entries[id];
    entry.beatAt = now();
    if (entry.content == content && m_rows.contains({"servers", id}))
        return;
    entry.content = content;
    Json::Value json = parsed(content);
    json["seq"] = Json::UInt64{seq};
    write({{"servers", id, toBase64(compact(json))}});
}

void Store::removeLapsedEntries()
{
    constexpr int intervals = 3;
    const std::lock_guard lock{m_mutex};
    for (auto &[id, entry] : m_entries) {
        if (m_rows.contains({"servers", id}) && now() - entry.beatAt > intervals * m_heartbeat)
            write({{"servers", id, {}, 0, true}});
    }
}

/** Call with the mutex held. */
std::uint64_t Store::write(std::vector<Row> rows)
{
    ++m_version;
    for (Row &row : rows) {
        row.version = m_version;
        if (row.isRemoved)
            m_rows.erase({row.table, row.key});
        else
            m_rows[{row.table, row.key}] = row;
        m_changes.push_back(row);
    }
    m_changed.notify_all();
    return m_version;
}

namespace {

template<typename Row>
Json::Value rowJson(const Row &row)
{
    Json::Value json;
    json["table"] = row.table;
    json["part"] = "";
    json["key"] = row.key;
    json["rowVersion"] = Json::UInt64{row.version};
    if (row.isRemoved)
        json["tombstone"] = true;
    else
        json["value"] = row.value;
    return json;
}

std::string rowsBody(const Json::Value &rows, std::uint64_t version)
{
    Json::Value json;
    json["rows"] = rows;
    json["rowVersion"] = Json::UInt64{version};
    json["nowS"] = now();
    json["truncated"] = false;
    return compact(json);
}

} // namespace

void Store::serve(Connection &connection, const HttpMessage &request)
{
    sleepFor(0.004);
    if (request.target == "/api/rows-tx")
        transact(connection, request);
    else if (request.target.starts_with("/api/rows-get"))
        get(connection, queryOf(request.target));
    else if (request.target.starts_with("/api/rows-feed"))
        follow(connection, queryOf(request.target));
    else
        connection.send(response(404, {}));
}

void Store::transact(Connection &connection, const HttpMessage &request)
{
    const Json::Value json = parsed(request.body);
    std::unique_lock lock{m_mutex};
    Json::Value current{Json::arrayValue};
    bool isHeld = true;
    for (const Json::Value &entry : json["expected"]) {
        const auto found = m_rows.find({entry["table"].asString(), entry["key"].asString()});
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        isHeld = isHeld && version == entry["rowVersion"].asUInt64();
        if (found != m_rows.end())
            current.append(rowJson(found->second));
    }
    if (!isHeld) {
        const std::string body = rowsBody(current, m_version);
        lock.unlock();
        connection.send(response(412, {{"Content-Type", "application/json"}}, body));
        return;
    }
    std::vector<Row> rows;
    for (const Json::Value &entry : json["writes"])
        rows.push_back(
            {entry["table"].asString(), entry["key"].asString(), entry["value"].asString()});
    for (const Json::Value &entry : json["deletes"])
        rows.push_back({entry["table"].asString(), entry["key"].asString(), {}, 0, true});
    const std::uint64_t version = write(std::move(rows));
    lock.unlock();
    connection.send(response(200, {{"Content-Type", "application/json"}},
                             "{\"rowVersion\":" + std::to_string(version) + "}"));
}

void Store::get(Connection &connection, const std::map<std::string, std::string> &query)
{
    const auto from = query.find("from");
    std::unique_lock lock{m_mutex};
    Json::Value rows{Json::arrayValue};
    for (const auto &[place, row] : m_rows) {
        if (place.first == query.at("table")
            && (from == query.end() || place.second >= from->second))
            rows.append(rowJson(row));
    }
    const std::string body = rowsBody(rows, m_version);
    lock.unlock();
    connection.send(response(200, {{"Content-Type", "application/json"}}, body));
}

void Store::follow(Connection &connection, const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    const auto wait = std::chrono::milliseconds{std::stoll(query.at("waitMs"))};
    std::unique_lock lock{m_mutex};
    const auto hasChange = [&] {
        return m_isStopped || std::ranges::any_of(m_changes, [&](const Row &row) {
                   return row.table == table && row.version > after;
               });
    };
    m_changed.wait_for(lock, wait, hasChange);
    Json::Value rows{Json::arrayValue};
    for (const Row &row : m_changes) {
        if (row.table == table && row.version > after)
            rows.append(rowJson(row));
    }
    const std::string body = rowsBody(rows, m_version);
    lock.unlock();
    connection.send(response(200, {{"Content-Type", "application/json"}}, body));
}

Server::Server(Store &store, Record &record, Settings settings)
    : m_store(store)
    , m_record(record)
    , m_settings(std::move(settings))
{ }

Server::~Server()
{
    m_isStopped = true;
    if (m_beats.joinable())
        m_beats.join();
    crash();
}

std::string Server::address() const
{
    return m_settings.ip + ':' + std::to_string(m_port);
}

void Server::start()
{
    const auto life = std::make_shared<Life>();
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    {
        const std::lock_guard lock{m_mutex};
        m_life = life;
        m_born = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }
    m_listener = std::make_unique<Listener>(
        m_settings.ip, m_port, [this, life](Connection &connection, const HttpMessage &request) {
            serve(connection, request, life);
        });
    m_port = m_listener->port();
    m_isUp = true;
    m_record.line("server " + id() + " starts at " + address() + ", born "
                  + std::to_string(m_born));
    if (m_beats.joinable())
        return;
    m_beats = std::thread{[this] {
        double due = 0;
        std::uint64_t lastBorn = 0;
        bool wasDraining = false;
        while (!m_isStopped) {
            // A start and a change of state are written at once, the rest every heartbeat.
            const bool isNew = lastBorn != m_born || wasDraining != m_isDraining;
            if (!m_isCut && m_isUp && (now() >= due || isNew)) {
                lastBorn = m_born;
                wasDraining = m_isDraining;
                due = now() + m_store.heartbeat();
                beat();
            }
            sleepFor(0.01);
        }
    }};
}

void Server::beat()
{
    Json::Value json;
    json["service"] = m_settings.service;
    json["address"] = address();
    json["zone"] = m_settings.zone;
    json["version"] = "v1";
    json["slots"] = m_settings.slots;
    json["state"] = m_isDraining ? "draining" : "ready";
    json["coldRemainingS"] = 0.0;
    if (m_settings.hasBorn)
        json["born"] = Json::UInt64{m_born};
    m_store.beat(id(), compact(json), ++m_seq);
}

void Server::crash()
{
    std::shared_ptr<Life> life;
    {
        const std::lock_guard lock{m_mutex};
        life = m_life;
        if (!life || life->isOver)
            return;
        life->isOver = true;
        m_isUp = false;
    }
    m_changed.notify_all();
    m_record.line("server " + id() + " ends, born " + std::to_string(m_born));
    const std::unique_ptr<Listener> listener = std::move(m_listener);
    listener->stop();
}

void Server::answer(Connection &connection, const std::string &bytes)
{
    ++m_answers;
    connection.send(bytes);
    connection.lastAnswer = bytes;
}

void Server::serve(Connection &connection, const HttpMessage &request,
                   const std::shared_ptr<Life> &life)
{
    const std::string target = request.field("X-Bulrushswitch-Target-Instance");
    if (!target.empty() && target != id())
        answer(connection,
               response(
                   421,
                   {{"X-Bulrushswitch-Instance-Id", id()},
                    {"X-Bulrushswitch-Request-Id", request.field("X-Bulrushswitch-Request-Id")}}));
    else if (request.target == "/api/grant")
        grant(connection, request, *life);
    else if (request.target == "/api/release")
        release(connection, request, *life);
    else if (request.target == "/health")
        answer(connection, response(200, {{"X-Bulrushswitch-Instance-Id", id()}}));
    else
        work(connection, request, *life);
}

void Server::grant(Connection &connection, const HttpMessage &request, Life &life)
{
    const Json::Value json = parsed(request.body);
    Grant grant{id(),
                m_born,
                json["from"].asUInt(),
                json["target"].asUInt(),
                json["fence"].asUInt64(),
                json["holdS"].asDouble(),
                now()};
    {
        const std::lock_guard lock{m_mutex};
        grant.isAccepted = !life.isOver;
        for (unsigned key = grant.first; key <= grant.last; ++key)
            grant.isAccepted = grant.isAccepted && life.seen[key] <= grant.fence;
        for (unsigned key = grant.first; grant.isAccepted && key <= grant.last; ++key) {
            life.seen[key] = grant.fence;
            life.heldUntil[key] = grant.at + grant.hold;
            life.grantedUntil[key] = grant.at + grant.hold;
        }
    }
    m_record.line("grant at " + id() + " keys " + std::to_string(grant.first) + '-'
                  + std::to_string(grant.last) + " fence " + std::to_string(grant.fence) + " hold "
                  + json["holdS"].asString() + (grant.isAccepted ? " 200" : " 409"));
    if (m_observer)
        m_observer(grant);
    answer(connection, response(grant.isAccepted ? 200 : 409, {}));
}

void Server::release(Connection &connection, const HttpMessage &request, Life &life)
{
    const Json::Value json = parsed(request.body);
    const unsigned first = json["from"].asUInt();
    const unsigned last = json["target"].asUInt();
    const std::uint64_t fence = json["fence"].asUInt64();
    const std::string range = std::to_string(first) + '-' + std::to_string(last);
    std::unique_lock lock{m_mutex};
    for (unsigned key = first; key <= last; ++key) {
        life.seen[key] = std::max(life.seen[key], fence);
        life.heldUntil[key] = 0;
    }
    const auto isBusy = [&] {
        const auto next = life.busy.lower_bound(first);
        return !life.isOver && next != life.busy.end() && next->first <= last;
    };
    m_record.line("release at " + id() + " keys " + range + " fence " + std::to_string(fence)
                  + (isBusy() ? ", at work" : ", idle"));
    if (isBusy() && !connection.lastAnswer.empty() && m_releaseFault && m_releaseFault(id())) {
        m_record.line("extra answer at " + id() + ": the last answer on this connection again");
        connection.send(connection.lastAnswer);
    }
    m_changed.wait(lock, [&] { return !isBusy(); });
    if (life.isOver)
        return;
    lock.unlock();
    m_record.line("release done at " + id() + " keys " + range);
    answer(
        connection,
        response(200, {{"X-Bulrushswitch-Handover", "h-" + id() + '-' + std::to_string(fence)}}));
}

void Server::work(Connection &connection, const HttpMessage &request, Life &life)
{
    constexpr unsigned maxWaiting = 12;
    const std::string requestId = request.field("X-Bulrushswitch-Request-Id");
    const std::string keyText = request.field("X-Bulrushswitch-Shard-Key");
    const unsigned key = keyText.empty() ? 0 : static_cast<unsigned>(std::stoul(keyText));
    std::unique_lock lock{m_mutex};
    const auto fields = [&] {
        return std::vector<std::pair<std::string, std::string>>{
            {"X-Bulrushswitch-Request-Id", requestId},
            {"X-Bulrushswitch-Server-Load",
             std::to_string(life.running) + ',' + std::to_string(life.waiting) + ','
                 + std::to_string(m_settings.slots)}};
    };
    const auto refuse = [&](int status) {
        auto refusal = fields();
        refusal.emplace_back("X-Bulrushswitch-Not-Executed", "1");
        lock.unlock();
        answer(connection, response(status, refusal));
    };
    if (life.waiting >= maxWaiting) {
        refuse(503);
        return;
    }
    ++life.waiting;
    m_changed.wait(lock, [&] { return life.isOver || life.running < m_settings.slots; });
    --life.waiting;
    if (life.isOver)
        return;
    if (m_settings.isKeyed && life.heldUntil[key] <= now()) {
        refuse(421);
        return;
    }
    ++life.running;
    const auto entry = life.busy.emplace(key, 0);
    m_record.line("runs " + requestId + " key " + std::to_string(key) + " at " + id());
    const bool wasEnded = m_changed.wait_for(
        lock, std::chrono::duration<double>{m_settings.workSeconds}, [&] { return life.isOver; });
    if (wasEnded)
        return;
    life.busy.erase(entry);
    --life.running;
    m_record.line("ran " + requestId + " key " + std::to_string(key) + " at " + id());
    auto done = fields();
    lock.unlock();
    m_changed.notify_all();
    done.emplace_back("X-Bulrushswitch-Response-Stamp", "stamp." + requestId);
    answer(connection, response(200, done, "by " + id() + " for " + requestId));
}

std::vector<unsigned> Server::busyKeys(unsigned first, unsigned last)
{
    const std::lock_guard lock{m_mutex};
    std::vector<unsigned> keys;
    if (!m_life || m_life->isOver)
        return keys;
    for (auto next = m_life->busy.lower_bound(first);
         next != m_life->busy.end() && next->first <= last; ++next)
        keys.push_back(next->first);
    return keys;
}

double Server::grantedUntil(unsigned key)
{
    const std::lock_guard lock{m_mutex};
    return m_life && !m_life->isOver ? m_life->grantedUntil[key] : 0.0;
}

bool Server::holds(unsigned key)
{
    const std::lock_guard lock{m_mutex};
    return m_life && !m_life->isOver && m_life->heldUntil[key] > now();
}

Daemon::Daemon(const Store &store, Settings settings, std::string folder)
    : m_store(store.address())
    , m_settings(std::move(settings))
    , m_folder(std::move(folder))
    , m_callersPort(freePort(m_settings.ip))
    , m_readyPort(freePort(m_settings.ip))
{
    std::ofstream file{m_folder + '/' + m_settings.host + ".yaml"};
    const auto address = [this](int port) {
        return '"' + m_settings.ip + ':' + std::to_string(port) + "\"\n";
    };
    // The layout of deploy/settings.yaml.template.
    file << "host: " << m_settings.host << "\ndomain: " << m_settings.zone << "\nstore: \""
         << m_store << "\"\naddresses:\n  callers: " << address(m_callersPort)
         << "  peers: " << address(freePort(m_settings.ip))
         << "  relays: " << address(freePort(m_settings.ip))
         << "  operators: " << address(m_readyPort)
         << "  metrics: " << address(freePort(m_settings.ip))
         << "processors: 0.2\nlinkMegabitsPerSecond: 1000\nserverDrainSeconds: "
         << m_settings.drainS << "\nconfigInForceSeconds: " << m_settings.configApplyS
         << "\nshutdownGraceSeconds: " << m_settings.graceS
         << "\nretries:\n  slack: " << m_settings.budgetSlack << "\n  ratio: 0.2\n";
}

Daemon::~Daemon()
{
    kill();
}

void Daemon::start()
{
    const std::string settings = m_folder + '/' + m_settings.host + ".yaml";
    const std::string log = m_folder + '/' + m_settings.host + ".log";
    const std::string program = environment("DAEMON", "target/bin/bulrushswitchd");
    m_process = ::fork();
    if (m_process < 0)
        cannotRun("fork");
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, 1);
        ::dup2(file, 2);
        ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
        std::_Exit(127);
    }
}

void Daemon::kill()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    m_process = 0;
}

void Daemon::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

std::optional<int> Daemon::ended()
{
    int status = 0;
    if (m_process <= 0 || ::waitpid(m_process, &status, WNOHANG) != m_process)
        return std::nullopt;
    m_process = 0;
    return status;
}

bool Daemon::isReady() const
{
    const auto answer =
        call(m_settings.ip, m_readyPort, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1);
    return answer && answer->status == 200;
}

int connectTo(const std::string &ip, int port, double seconds)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = endpoint(ip, port);
    ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    pollfd state{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&state, 1, static_cast<int>(seconds * 1000)) <= 0
        || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    return descriptor;
}

std::optional<HttpMessage> call(const std::string &ip, int port, const std::string &request,
                                double seconds)
{
    const int descriptor = connectTo(ip, port, std::min(seconds, 1.0));
    if (descriptor < 0)
        return std::nullopt;
    Connection connection{descriptor};
    if (!connection.send(request))
        return std::nullopt;
    return connection.read(seconds);
}

std::string drawnNetwork()
{
    std::random_device random;
    return "127." + std::to_string(20 + random() % 200) + '.' + std::to_string(1 + random() % 250)
        + '.';
}

int freePort(const std::string &ip)
{
    // Below the range from which the system takes the ports of outgoing connections.
    std::random_device random;
    for (int i = 0; i < 200; ++i) {
        const int port = 12'000 + static_cast<int>(random() % 18'000);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = endpoint(ip, port);
        const bool isFree =
            ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (isFree)
            return port;
    }
    cannotRun("no free port at " + ip);
}

std::string keyedRequest(const std::string &id, unsigned key, int deadlineMs)
{
    return "GET /read/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Bulrushswitch-Request-Id: "
        + id + "\r\nX-Bulrushswitch-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nX-Bulrushswitch-Shard-Key: " + std::to_string(key) + "\r\n\r\n";
}

void writeConfig(Store &store, int version)
{
    const auto service = [](const std::string &name, bool isKeyed) {
        Json::Value json;
        json["name"] = name;
        json["healthPath"] = "/health";
        json["maxConns"] = 110;
        if (isKeyed)
            json["sharded"] = true;
        return json;
    };
    const auto route = [](const std::string &prefix, const std::string &kind,
                          const std::string &target) {
        Json::Value json;
        json["name"] = "route" + prefix;
        json["prefix"] = prefix;
        json["kind"] = kind;
        // As on the users' sheets, where uploads have no time-out of their own.
        if (kind != "upload")
            json["timeoutS"] = 3.0;
        json["targetLatencyS"] = 0.8;
        json["priority"] = 1;
        json["service"] = target;
        json["maxAttempts"] = 2;
        return json;
    };
    Json::Value host;
    host["host"] = "shop.example";
    host["paths"].append(route("/read/", "safe", "catalogue"));
    host["paths"].append(route("/pay/", "unsafe", "payments"));
    host["paths"].append(route("/upload/", "upload", "payments"));
    Json::Value config;
    char digits[16];
    std::snprintf(digits, sizeof digits, "%08x", static_cast<unsigned>(version));
    config["version"] = digits;
    config["services"].append(service("catalogue", true));
    config["services"].append(service("payments", false));
    config["limits"]["headerBytes"] = 16'384;
    config["limits"]["bodyBytes"] = 67'108'864;
    config["limits"]["headerTimeoutS"] = 3;
    config["limits"]["idleTimeoutS"] = 15;
    config["hosts"].append(host);
    store.put("op", "config", compact(config));
}

std::string environment(const char *name, const std::string &otherwise)
{
    const char *value = std::getenv(name);
    return value && *value ? value : otherwise;
}

} // namespace world
