#pragma once

#include "process/plannerlease.h"

#include <system_error>

namespace bulrush {

/** \returns what a commit that ended with \a error did to its rows. Thread safe. */
RowWriteEnd rowWriteEndOf(std::error_code error);

} // namespace bulrush
