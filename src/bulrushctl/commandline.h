#pragma once

#include "exitcode.h"

#include <istream>
#include <ostream>
#include <span>
#include <string>

namespace bulrush::ctl {

/**
 * Runs bulrushctl with \a arguments, which exclude the program name, and with the given streams for
 * input and output. \returns the exit code of the process. Not thread safe.
 */
ExitCode run(std::span<const std::string> arguments, std::istream &in, std::ostream &out,
             std::ostream &err);

} // namespace bulrush::ctl
