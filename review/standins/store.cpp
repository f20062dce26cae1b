#include "store.h"

#include <json/reader.h>
#include <json/writer.h>

#include <sstream>

namespace review {

namespace {

std::map<std::string, std::string> parsedQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::istringstream parts{mark == std::string::npos ? "" : target.substr(mark + 1)};
    for (std::string part; std::getline(parts, part, '&');) {
        const std::size_t equals = part.find('=');
        std::string value;
        for (std::size_t i = equals + 1; equals != std::string::npos && i < part.size(); ++i) {
            if (part[i] == '%' && i + 2 < part.size()) {
                value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += part[i];
            }
        }
        query[part.substr(0, equals)] = value;
    }
    return query;
}

} // namespace

std::string toBase64(const std::string &bytes)
{
    static const std::string digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U
                | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[(group >> (18 - 6 * j)) & 0x3fU] : '=';
    }
    return text;
}

std::string toText(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

Json::Value parsedJson(const std::string &text)
{
    Json::Value json;
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    reader->parse(text.data(), text.data() + text.size(), &json, nullptr);
    return json;
}

Store::Store(const std::string &ip)
    : m_server(ip, 0, [this](Connection &connection, const HttpMessage &message) {
        serve(connection, message);
    })
{ }

std::string Store::address() const
{
    return m_server.address();
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock{m_mutex};
    apply({{table, key, toBase64(value), 0, false}});
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    if (m_rows.contains({table, key}))
        apply({{table, key, {}, 0, true}});
}

void Store::serve(Connection &connection, const HttpMessage &message)
{
    const std::string target = message.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/api/rows-tx")
        connection.send(transact(message.body));
    else if (path == "/api/rows-get")
        connection.send(get(parsedQuery(target)));
    else if (path == "/api/rows-feed")
        connection.send(follow(connection, parsedQuery(target)));
    else
        connection.send(httpAnswer(404, {}, ""));
}

std::string Store::transact(const std::string &body)
{
    const Json::Value json = parsedJson(body);
    const std::lock_guard lock{m_mutex};
    for (const Json::Value &entry : json["expected"]) {
        const auto row = m_rows.find({entry["table"].asString(), entry["key"].asString()});
        const std::uint64_t version = row == m_rows.end() ? 0 : row->second.version;
        if (version != entry["rowVersion"].asUInt64())
            return rowsAnswer(412, {});
    }
    std::vector<Row> changes;
    for (const Json::Value &entry : json["writes"])
        changes.push_back({entry["table"].asString(), entry["key"].asString(),
                           entry["value"].asString(), 0, false});
    for (const Json::Value &entry : json["deletes"])
        changes.push_back({entry["table"].asString(), entry["key"].asString(), {}, 0, true});
    apply(std::move(changes));
    return rowsAnswer(200, {});
}

std::string Store::get(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock{m_mutex};
    std::vector<Row> rows;
    for (const auto &[key, row] : m_rows) {
        const auto from = query.find("from");
        if (key.first == query.at("table") && (from == query.end() || key.second >= from->second))
            rows.push_back(row);
    }
    return rowsAnswer(200, rows);
}

std::string Store::follow(Connection &connection, const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    const Instant end = Clock::now() + Milliseconds{std::stoll(query.at("waitMs"))};
    std::unique_lock lock{m_mutex};
    while (changesAfter(table, after).empty() && Clock::now() < end && !connection.isClosedByPeer())
        m_changed.wait_for(lock, Milliseconds{20});
    return rowsAnswer(200, changesAfter(table, after));
}

/** \pre m_mutex is locked */
void Store::apply(std::vector<Row> changes)
{
    ++m_version;
    for (Row &row : changes) {
        row.version = m_version;
        m_history.push_back(row);
        if (row.isRemoved)
            m_rows.erase({row.table, row.key});
        else
            m_rows[{row.table, row.key}] = row;
    }
    m_changed.notify_all();
}

std::string Store::rowsAnswer(int status, const std::vector<Row> &rows) const
{
    Json::Value json;
    json["rows"] = Json::Value{Json::arrayValue};
    for (const Row &row : rows) {
        Json::Value entry;
        entry["table"] = row.table;
        entry["part"] = "";
        entry["key"] = row.key;
        entry["rowVersion"] = Json::UInt64{row.version};
        if (row.isRemoved)
            entry["tombstone"] = true;
        else
            entry["value"] = row.value;
        json["rows"].append(entry);
    }
    json["truncated"] = false;
    json["rowVersion"] = Json::UInt64{m_version};
    json["nowS"] = nowSeconds();
    return httpAnswer(status, {{"Content-Type", "application/json"}}, toText(json));
}

std::vector<Store::Row> Store::changesAfter(const std::string &table, std::uint64_t version) const
{
    std::vector<Row> changes;
    for (const Row &row : m_history) {
        if (row.table == table && row.version > version)
            changes.push_back(row);
    }
    return changes;
}

} // namespace review
