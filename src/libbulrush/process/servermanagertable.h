#pragma once

#include "version/assignment.h"

#include <set>
#include <span>
#include <vector>

namespace bulrush {

/**
 * Chooses which daemon of a failure domain attends each backend server: evenly, and changing as
 * few as it can. When the change takes effect is for Handover to say.
 *
 * Not thread safe.
 */
class ServerManagerTable
{
public:
    /** Starts from what is in force; sorted by server. */
    explicit ServerManagerTable(std::vector<Attendance> attendances = {});

    /**
     * Fits the table to the servers that need an attendant and the daemons that may be one; those
     * that leave or are lost are not named. A server keeps its daemon unless that is gone or
     * attends two or more above the least busy one. With no daemon the table stays as it is.
     */
    void fit(const std::set<ServerName> &servers, const std::set<Incarnation> &daemons);

    /** \returns the attendances, sorted by server. */
    std::span<const Attendance> attendances() const;

private:
    std::vector<Attendance> m_attendances;
};

inline std::span<const Attendance> ServerManagerTable::attendances() const
{
    return m_attendances;
}

} // namespace bulrush
