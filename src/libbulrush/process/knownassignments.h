#pragma once

#include "process/storeversion.h"
#include "version/keyassignment.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bulrush {

/** Sequences of assignments, by service. */
using AssignmentSequences = std::map<ServiceName, std::uint64_t>;

/**
 * The latest known assignment of each service, and the version of its row in the store. An
 * assignment is confirmed while its row has it, committed in the row's era. After the store was
 * restored from an older copy, a row may lack assignments by which servers already hold keys; the
 * latest known ones stay, unconfirmed, until a planner has written them again.
 *
 * Not thread safe.
 */
class KnownAssignments
{
public:
    /**
     * Applies the row of an assignment. \returns whether the assignment is later than the known
     * one.
     */
    bool applyRow(const KeyAssignment &assignment, const StoreVersion &version);

    /**
     * Applies an assignment that another daemon remembers, when the rows are of \a era. \returns
     * whether it is later than the known one, which is then unconfirmed.
     */
    bool applyRemembered(const KeyAssignment &assignment, std::uint64_t era);

    /** Records that all rows of \a era have been applied: assignments of earlier ones have none. */
    void enterEra(std::uint64_t era);

    /** \returns whether all known assignments are confirmed. */
    bool areConfirmed() const;

    /** \returns the services whose assignments are not confirmed. */
    std::vector<ServiceName> unconfirmed() const;

    /** \returns whether a row of a later era than \a era is known. */
    bool hasRowsAfter(std::uint64_t era) const;

    /** \returns the latest known assignment of \a service, or null. Valid until the next change. */
    const KeyAssignment *find(const ServiceName &service) const;

    /** \returns the version of the row of \a service; the lowest version if there is no row. */
    StoreVersion rowVersion(const ServiceName &service) const;

    /** \returns the sequences of all known assignments. */
    AssignmentSequences sequences() const;

    /** \returns the assignments that are later than \a known, or of other services. */
    std::vector<KeyAssignment> laterThan(const AssignmentSequences &known) const;

    /** \returns all known assignments. */
    std::vector<const KeyAssignment *> all() const;

private:
    struct Entry
    {
        KeyAssignment assignment;
        StoreVersion rowVersion;
        bool isConfirmed = false;
    };

    static bool adopt(Entry &entry, const KeyAssignment &assignment);

    std::map<ServiceName, Entry> m_entries;
};

} // namespace bulrush
