#pragma once

#include "net.h"

#include <json/value.h>

#include <condition_variable>
#include <deque>
#include <optional>
#include <vector>

namespace review {

/** The platform's store: rows in tables, transactions under conditions, and a feed of changes. */
class Store
{
public:
    explicit Store(const std::string &ip);

    std::string address() const;

    /** Writes a row as operators and backend servers do. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string table;
        std::string key;
        /** Base64. */
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    using RowKey = std::pair<std::string, std::string>;

    void serve(Connection &connection, const HttpMessage &message);
    std::string transact(const std::string &body);
    std::string get(const std::map<std::string, std::string> &query);
    std::string follow(Connection &connection, const std::map<std::string, std::string> &query);
    void apply(std::vector<Row> changes);
    std::string rowsAnswer(int status, const std::vector<Row> &rows) const;
    std::vector<Row> changesAfter(const std::string &table, std::uint64_t version) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<RowKey, Row> m_rows;
    std::vector<Row> m_history;
    std::uint64_t m_version = 1;
    HttpServer m_server;
};

std::string toBase64(const std::string &bytes);
std::string toText(const Json::Value &json);
Json::Value parsedJson(const std::string &text);

} // namespace review
