#pragma once

#include "process/configproblem.h"
#include "version/contract.h"

#include <string_view>
#include <system_error>

namespace bulrush::io {

/** Result of reading a contract. \a contract is valid only if \a error is clear. */
struct ContractResult
{
    std::error_code error;
    Contract contract;
    /** All problems found, sorted by line. */
    ConfigProblems problems;
};

/**
 * Reads a contract from YAML \a text and validates it. Problems give \a name as their file. Used by
 * both the daemon and bulrushctl. Does not throw if the text is invalid. Thread safe.
 */
ContractResult readContract(std::string_view text, std::string_view name);

/** Reads a contract from the file at \a path. Thread safe. */
ContractResult readContractFile(std::string_view path);

} // namespace bulrush::io
