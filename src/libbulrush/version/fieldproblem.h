#pragma once

#include <string>
#include <vector>

namespace bulrush {

/** Validation error in one field of a contract or of the settings. */
struct FieldProblem
{
    /** Path of the field in the file, such as "operations[2].deadline". */
    std::string field;
    /** Description of the error, with the reason. */
    std::string what;
    /** Allowed values. */
    std::string allowed;

    bool operator==(const FieldProblem &) const = default;
};

using FieldProblems = std::vector<FieldProblem>;

} // namespace bulrush
