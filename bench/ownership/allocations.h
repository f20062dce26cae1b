#pragma once

#include <cstddef>

namespace bulrush::bench {

/** \returns the bytes that the program holds on the heap. Thread safe. */
std::size_t heldBytes();

/** Resets the peak to the bytes held now. Thread safe. */
void resetPeak();

/** \returns the most bytes held since the last reset. Thread safe. */
std::size_t peakBytes();

} // namespace bulrush::bench
