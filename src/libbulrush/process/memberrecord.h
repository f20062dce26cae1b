#pragma once

#include "version/identifier.h"

#include <cstdint>
#include <string>

namespace bulrush {

/**
 * The state of a daemon as seen by others. The order matters: of two states for the same
 * incarnation and counter, the higher one wins.
 */
enum class MemberState { Alive, Leaving, Suspected, Gone };

/**
 * A daemon as described by itself, with its state as seen by others.
 */
struct MemberRecord
{
    HostName host;
    DomainName domain;
    /** IP address and port for other daemons' messages. */
    std::string address;
    Incarnation incarnation;
    /** Orders the incarnations of daemons on one host: a later one has a higher generation. */
    std::uint64_t generation = 0;
    /** Incremented only by the member itself, to refute a state recorded by others. */
    std::uint64_t counter = 0;
    MemberState state = MemberState::Alive;
    /** IP address and port for requests relayed by other daemons; constant while it runs. */
    std::string relayAddress = {};

    bool operator==(const MemberRecord &) const = default;
};

/**
 * \returns whether \a candidate replaces \a held in a table. Both are of the same host. This is a
 * total order except for equal records, so that tables converge regardless of the order in which
 * records arrive.
 */
bool supersedes(const MemberRecord &candidate, const MemberRecord &held);

/**
 * \returns whether new work may be assigned to the member: alive, and not leaving.
 */
constexpr bool isAvailable(MemberState state)
{
    return state == MemberState::Alive;
}

/**
 * \returns whether the member is assumed to respond.
 */
constexpr bool isPresent(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Leaving;
}

} // namespace bulrush
