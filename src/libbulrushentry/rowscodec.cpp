#include "rowscodec.h"

#include "process/jsonreader.h"

#include <json/value.h>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace bulrush {

std::string encodeRows(const RelayedRows &rows)
{
    return encodeRows(rows, encodeRowList(rows));
}

std::string encodeRows(const RelayedRows &rows, std::string_view list)
{
    std::string text = "{\"age\":" + std::to_string(rows.age.count()) + ",\"rows\":";
    text += list;
    text += ",\"era\":" + std::to_string(rows.version.era);
    text += ",\"version\":" + std::to_string(rows.version.number);
    text += ",\"chain\":" + std::to_string(rows.chain);
    if (rows.isAfterOutage)
        text += ",\"afterOutage\":true";
    return text + (rows.isComplete ? ",\"whole\":true}" : ",\"whole\":false}");
}

std::string encodeRowList(const RelayedRows &rows)
{
    Json::Value list{Json::arrayValue};
    for (const platform::StoreRow &row : rows.rows) {
        Json::Value entry;
        entry["key"] = row.key;
        entry["value"] = row.value;
        entry["version"] = Json::UInt64{row.version.number};
        if (row.isRemoved)
            entry["removed"] = true;
        list.append(std::move(entry));
    }
    return io::toCompactJson(list);
}

std::optional<RelayedRows> decodeRows(std::string_view text)
{
    const Json::Value json = io::parseJson(std::string{text});
    io::JsonReader reader{json};
    RelayedRows rows;
    // Daemons before eras were known send none.
    const std::uint64_t era = json.isMember("era") ? reader.number("era") : 0;
    rows.version = {era, reader.number("version")};
    rows.age = reader.span("age");
    rows.isComplete = reader.flag("whole");
    rows.isAfterOutage = io::isTrue(json, "afterOutage");
    rows.chain = static_cast<unsigned>(
        std::min<std::uint64_t>(reader.number("chain"), std::numeric_limits<unsigned>::max() - 1));
    for (const Json::Value &entry : reader.list("rows")) {
        io::JsonReader row{entry};
        const bool isRemoved = io::isTrue(entry, "removed");
        rows.rows.push_back(
            {row.text("key"), row.text("value"), {era, row.number("version")}, isRemoved});
        if (!row.isValid())
            return std::nullopt;
    }
    if (!reader.isValid())
        return std::nullopt;
    return rows;
}

} // namespace bulrush
