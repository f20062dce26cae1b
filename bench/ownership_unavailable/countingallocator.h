#pragma once

#include <cstddef>

/** \returns the number of bytes that are allocated by operator new and not freed. */
std::size_t allocatedBytes();
