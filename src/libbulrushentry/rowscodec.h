#pragma once

#include "platform/storeclient.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** The rows of a table as a daemon knows them, or what has changed of them, for another daemon. */
struct RelayedRows
{
    std::vector<platform::StoreRow> rows;
    /** Of the store. */
    std::uint64_t version = 0;
    /**
     * How long before the question came the store told that these are all there are; negative if it
     * told that while the question waited.
     */
    Duration age{};
    /** Whether these are all rows, and not only those that have changed. */
    bool isComplete = true;
    /** Whether they were read after an outage of the store, in which rows may have lapsed. */
    bool isAfterOutage = false;
    /** Daemons between the store and the one that tells them. */
    unsigned chain = 0;
};

/** \returns the message of \a rows. Thread safe. */
std::string encodeRows(const RelayedRows &rows);

/** \returns the part of the message that is alike for all who ask after one version. Thread safe.
 */
std::string encodeRowList(const RelayedRows &rows);

/** \returns the message of \a rows with \a list, their encodeRowList(). Thread safe. */
std::string encodeRows(const RelayedRows &rows, std::string_view list);

/** \returns the rows in \a text, or nothing if it is no such message. Thread safe. */
std::optional<RelayedRows> decodeRows(std::string_view text);

} // namespace bulrush
