#define BOOST_TEST_MODULE KnownRow

#include "knownrows.h"
#include "support/storeversions.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace bulrush;
using namespace bulrush::test;

namespace {

platform::StoreRow row(const std::string &key, std::uint64_t version)
{
    return {key, key + std::to_string(version), versionAt(version), false};
}

platform::StoreRow removed(const std::string &key, std::uint64_t version)
{
    return {key, {}, versionAt(version), true};
}

platform::RowsOutcome rowsAt(std::uint64_t version, std::vector<platform::StoreRow> rows)
{
    return {{}, std::move(rows), versionAt(version)};
}

/** \returns the versions of rows by key, removed ones left out. */
std::map<std::string, std::uint64_t> versionsOf(const std::vector<platform::StoreRow> &rows)
{
    std::map<std::string, std::uint64_t> versions;
    for (const platform::StoreRow &known : rows) {
        if (!known.isRemoved)
            versions[known.key] = known.version.number;
    }
    return versions;
}

using Versions = std::map<std::string, std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_CASE(sinceReturnsChangesAfterAVersion)
{
    KnownRows rows;
    BOOST_TEST(!rows.isLoaded());
    BOOST_TEST(rows.version() == versionAt(0));
    rows.replaceAll(rowsAt(10, {row("a", 3), row("b", 7)}), false);
    rows.applyChanges(rowsAt(14, {row("a", 12), removed("b", 13)}));
    const RelayedRows changes = rows.since(versionAt(10));
    BOOST_TEST(!changes.isComplete);
    BOOST_TEST(changes.version == versionAt(14));
    BOOST_TEST(changes.rows.size() == 2U);
    const RelayedRows all = rows.since(versionAt(9));
    BOOST_TEST(all.isComplete);
    BOOST_TEST((versionsOf(all.rows) == Versions{{"a", 12}}));
}

BOOST_AUTO_TEST_CASE(olderReadKeepsLaterChanges)
{
    KnownRows rows;
    rows.replaceAll(rowsAt(10, {row("a", 3), row("b", 7), row("c", 8)}), false);
    rows.applyChanges(rowsAt(20, {row("a", 18), removed("b", 19)}));
    platform::RowsOutcome read = rowsAt(15, {row("a", 3), row("b", 7), row("d", 15)});
    rows.mergeLaterChanges(read);
    BOOST_TEST(read.version == versionAt(20));
    BOOST_TEST((versionsOf(read.rows) == Versions{{"a", 18}, {"d", 15}}));
}

BOOST_AUTO_TEST_CASE(readOlderThanTheTableIsReplacedByIt)
{
    KnownRows rows;
    rows.replaceAll(rowsAt(20, {row("a", 18)}), false);
    platform::RowsOutcome read = rowsAt(15, {row("a", 3), row("b", 7)});
    rows.mergeLaterChanges(read);
    BOOST_TEST(read.version == versionAt(20));
    BOOST_TEST((versionsOf(read.rows) == Versions{{"a", 18}}));
}

BOOST_AUTO_TEST_CASE(newerReadIsLeftUnchanged)
{
    KnownRows rows;
    rows.replaceAll(rowsAt(20, {row("a", 18), row("b", 19)}), false);
    platform::RowsOutcome read = rowsAt(22, {row("a", 21)});
    rows.mergeLaterChanges(read);
    BOOST_TEST(read.version == versionAt(22));
    BOOST_TEST((versionsOf(read.rows) == Versions{{"a", 21}}));
}

BOOST_AUTO_TEST_CASE(sinceReturnsAllRowsAfterTooManyRemovals)
{
    KnownRows rows;
    rows.replaceAll(rowsAt(1, {row("a", 1)}), true);
    std::vector<platform::StoreRow> many;
    for (std::size_t i = 0; i <= KnownRows::maxRemoved; ++i)
        many.push_back(removed("r" + std::to_string(i), 2));
    rows.applyChanges(rowsAt(2, many));
    const RelayedRows result = rows.since(versionAt(1));
    BOOST_TEST(result.isComplete);
    BOOST_TEST(result.isAfterOutage);
    BOOST_TEST((versionsOf(result.rows) == Versions{{"a", 1}}));
}

BOOST_AUTO_TEST_CASE(rowsOfALaterEraReplaceAllRows)
{
    KnownRows rows;
    rows.replaceAll(rowsAt(20, {row("a", 18), row("b", 19)}), false);
    platform::RowsOutcome restored{{}, {{"a", "old", {1, 3}, false}}, {1, 5}};
    rows.mergeLaterChanges(restored);
    BOOST_TEST(restored.version == (StoreVersion{1, 5}));
    rows.replaceAll(restored, true);
    BOOST_TEST(rows.version() == (StoreVersion{1, 5}));
    const RelayedRows all = rows.since(versionAt(20));
    BOOST_TEST(all.isComplete);
    BOOST_TEST(all.isAfterOutage);
    BOOST_TEST((versionsOf(all.rows) == Versions{{"a", 3}}));
}

BOOST_AUTO_TEST_CASE(relayedRowsKeepTheirEra)
{
    KnownRows rows;
    rows.replaceAll({{}, {{"a", "one", {2, 3}, false}}, {2, 5}}, false);
    const auto decoded = decodeRows(encodeRows(rows.since({1, 70})));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->version == (StoreVersion{2, 5}));
    BOOST_REQUIRE(decoded->rows.size() == 1U);
    BOOST_TEST(decoded->rows[0].version == (StoreVersion{2, 3}));
}
