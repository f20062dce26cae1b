#pragma once

#include <string>

namespace bulrush::ctl {

/** \returns 128 random bits as hexadecimal digits, for globally unique ids. Thread safe. */
std::string randomId();

} // namespace bulrush::ctl
