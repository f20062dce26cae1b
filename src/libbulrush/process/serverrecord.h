#pragma once

#include "process/clock.h"
#include "process/endpoint.h"
#include "version/identifier.h"

#include <cstdint>
#include <optional>

namespace bulrush {

/** Record that one run of a backend server publishes about itself in the directory. */
struct ServerRecord
{
    /** Identifies this run of the server; it changes with each restart. */
    ServerName id;
    ServiceName service;
    Endpoint address;
    DomainName domain;
    /** Number of requests that it processes concurrently. */
    std::uint32_t slots = 1;
    bool isDraining = false;
    /** Remaining time for which it is slow after its start. */
    Duration coldRemaining{};
    /**
     * Name of its record in the store, which a later run of the server may reuse. Empty if the name
     * is \a id.
     */
    ServerName recordName = {};
    /** Rises with each write of this run's record. */
    std::uint64_t sequence = 0;

    bool operator==(const ServerRecord &) const = default;

    /** \returns whether this and \a other differ at most in their sequences. */
    bool hasSameContent(const ServerRecord &other) const;

    /** \returns the name of this run's record in the store. */
    const ServerName &nameInRecord() const;

    /**
     * \returns whether this run and \a other are different runs of the same server, of which one
     * stopped before the other started.
     */
    bool isOtherRunOf(const ServerRecord &other) const;
};

inline const ServerName &ServerRecord::nameInRecord() const
{
    return recordName.isEmpty() ? id : recordName;
}

inline bool ServerRecord::hasSameContent(const ServerRecord &other) const
{
    ServerRecord copy = other;
    copy.sequence = sequence;
    return *this == copy;
}

inline bool ServerRecord::isOtherRunOf(const ServerRecord &other) const
{
    return id != other.id && nameInRecord() == other.nameInRecord();
}

} // namespace bulrush
