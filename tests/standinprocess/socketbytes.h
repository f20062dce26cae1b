#pragma once

#include <string_view>

namespace bulrush::test {

/** Sends all of \a bytes on \a socket, which blocks. \returns false if that fails. Thread safe. */
bool sendAll(int socket, std::string_view bytes);

} // namespace bulrush::test
