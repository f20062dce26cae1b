#pragma once

#include "platform/storeclient.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** The rows of a table, or their changes after a version, as sent from one daemon to another. */
struct RelayedRows
{
    std::vector<platform::StoreRow> rows;
    /** The store version of the rows. */
    StoreVersion version;
    /**
     * Time from the store's last confirmation of these rows to the arrival of the request; negative
     * if the store confirmed them while the request was held.
     */
    Duration age{};
    /** Whether these are all rows, and not only the changed ones. */
    bool isComplete = true;
    /** Whether they were read after an outage of the store, in which rows may have expired. */
    bool isAfterOutage = false;
    /** Number of daemons between the store and the sender. */
    unsigned chain = 0;
};

/** \returns the encoded message of \a rows. Thread safe. */
std::string encodeRows(const RelayedRows &rows);

/** \returns the part of the message that all requests for one version share. Thread safe. */
std::string encodeRowList(const RelayedRows &rows);

/** \returns the message of \a rows with \a list, the result of encodeRowList(). Thread safe. */
std::string encodeRows(const RelayedRows &rows, std::string_view list);

/** \returns the rows in \a text, or nothing if it is not a valid message. Thread safe. */
std::optional<RelayedRows> decodeRows(std::string_view text);

} // namespace bulrush
