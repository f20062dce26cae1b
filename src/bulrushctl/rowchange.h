#pragma once

#include "commitwithretries.h"

#include <string>

namespace bulrush::ctl {

/** The new value of one row, and the identification of the write. */
struct RowChange
{
    /** The row as it was read. */
    TableRow before;
    Json::Value value;
    /** The field of \a value that holds the id of this write. */
    std::string idField;
    std::string writer;
};

/**
 * Writes one row by compare-and-set. If the answer is lost, reads the row: the write has taken
 * effect if the row holds its id. The outcome is Committed, Conflict, Refused, NotSent or Unknown.
 */
CommitResult changeRow(PlatformTable &table, const RowChange &change, const RetryPolicy &policy);

} // namespace bulrush::ctl
