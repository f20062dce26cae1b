#pragma once

#include "platform/table.h"

#include <json/value.h>

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace bulrush::standins {

/** The reason why a body was rejected. */
struct Malformed
{
    std::string error;
};

struct ScanRange
{
    std::string table;
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

// Parse the bodies of table requests. A missing member, or one of a wrong type, is an error.

std::variant<Transaction, Malformed> transactionFrom(const Json::Value &body);
std::variant<std::vector<RowId>, Malformed> rowIdsFrom(const Json::Value &body);
std::variant<ScanRange, Malformed> scanRangeFrom(const Json::Value &body);

Json::Value toJson(const Committed &committed);
Json::Value toJson(const Conflicted &conflicted);
Json::Value toJson(std::span<const Row> rows);

} // namespace bulrush::standins
