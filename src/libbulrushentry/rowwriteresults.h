#pragma once

#include "process/plannerlease.h"

#include <system_error>

namespace bulrush {

/** \returns the effect on its rows of a commit that returned \a error. Thread safe. */
RowWriteResult rowWriteResultOf(std::error_code error);

} // namespace bulrush
