#pragma once

/**
 * Prints the processor time and the memory that a domain leader's lease table and handover use at
 * three sizes, and the increase per slice.
 */
void printBookCost();
