#include "process/knownassignments.h"

#include <algorithm>

namespace bulrush {

bool KnownAssignments::applyRow(const KeyAssignment &assignment, const StoreVersion &version)
{
    Entry &entry = m_entries[assignment.service];
    if (version <= entry.rowVersion)
        return false;
    entry.rowVersion = version;
    entry.isConfirmed =
        assignment.era == version.era && assignment.sequence >= entry.assignment.sequence;
    return adopt(entry, assignment);
}

bool KnownAssignments::applyRemembered(const KeyAssignment &assignment, std::uint64_t era)
{
    const auto [place, isNew] = m_entries.try_emplace(assignment.service);
    Entry &entry = place->second;
    if (isNew)
        entry.rowVersion = {era, 0};
    if (!adopt(entry, assignment))
        return false;
    entry.isConfirmed = false;
    return true;
}

/** Replaces the known assignment if \a assignment is later. \returns whether it is. */
bool KnownAssignments::adopt(Entry &entry, const KeyAssignment &assignment)
{
    if (assignment.sequence <= entry.assignment.sequence)
        return false;
    entry.assignment = assignment;
    return true;
}

void KnownAssignments::enterEra(std::uint64_t era)
{
    for (auto &[service, entry] : m_entries) {
        if (entry.rowVersion.era >= era)
            continue;
        entry.rowVersion = {era, 0};
        entry.isConfirmed = false;
    }
}

bool KnownAssignments::areConfirmed() const
{
    return std::ranges::all_of(m_entries,
                               [](const auto &known) { return known.second.isConfirmed; });
}

std::vector<ServiceName> KnownAssignments::unconfirmed() const
{
    std::vector<ServiceName> services;
    for (const auto &[service, entry] : m_entries) {
        if (!entry.isConfirmed)
            services.push_back(service);
    }
    return services;
}

bool KnownAssignments::hasRowsAfter(std::uint64_t era) const
{
    return std::ranges::any_of(
        m_entries, [era](const auto &known) { return known.second.rowVersion.era > era; });
}

const KeyAssignment *KnownAssignments::find(const ServiceName &service) const
{
    const auto found = m_entries.find(service);
    return found == m_entries.end() ? nullptr : &found->second.assignment;
}

StoreVersion KnownAssignments::rowVersion(const ServiceName &service) const
{
    const auto found = m_entries.find(service);
    return found == m_entries.end() ? StoreVersion{} : found->second.rowVersion;
}

AssignmentSequences KnownAssignments::sequences() const
{
    AssignmentSequences sequences;
    for (const auto &[service, entry] : m_entries)
        sequences[service] = entry.assignment.sequence;
    return sequences;
}

std::vector<KeyAssignment> KnownAssignments::laterThan(const AssignmentSequences &known) const
{
    std::vector<KeyAssignment> later;
    for (const auto &[service, entry] : m_entries) {
        const auto sequence = known.find(service);
        if (sequence == known.end() || entry.assignment.sequence > sequence->second)
            later.push_back(entry.assignment);
    }
    return later;
}

std::vector<const KeyAssignment *> KnownAssignments::all() const
{
    std::vector<const KeyAssignment *> known;
    for (const auto &[service, entry] : m_entries)
        known.push_back(&entry.assignment);
    return known;
}

} // namespace bulrush
