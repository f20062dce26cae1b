#pragma once

#include "process/bucketdigest.h"
#include "process/clock.h"
#include "process/memberrecord.h"
#include "process/versioneditem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrush {

/**
 * Changes sent by gossip: complete records of members, but only headers of items.
 */
struct GossipUpdate
{
    std::vector<MemberRecord> members;
    std::vector<ItemHeader> items;
};

/**
 * Digests of the data that a daemon holds.
 */
struct Summary
{
    std::uint64_t members = 0;
    std::uint64_t items = 0;
    /** Time since the sender's contracts were last confirmed as current; nothing if never. */
    std::optional<Duration> age;
};

/** Checks whether a member responds. */
struct Ping
{
    std::uint64_t sequence = 0;
    Summary summary;
    GossipUpdate news;
};

/** Answers a ping. */
struct Ack
{
    std::uint64_t sequence = 0;
    Summary summary;
    GossipUpdate news;
};

/** Sends changes; it is not answered. */
struct GossipPush
{
    GossipUpdate news;
};

/** Requests that a member pings another one, which the sender cannot reach. */
struct IndirectPing
{
    std::uint64_t sequence = 0;
    HostName target;
};

/** Reports that the target of an indirect ping has answered. */
struct IndirectAck
{
    std::uint64_t sequence = 0;
    MemberRecord target;
};

/** Requests the data in which the receiver differs from the sender. */
struct Exchange
{
    BucketDigest::Buckets members{};
    BucketDigest::Buckets items{};
};

/** Answers an exchange, within the limits of a message. */
struct Delta
{
    GossipUpdate news;
};

/** Requests the bodies of items. */
struct Fetch
{
    std::vector<ItemKey> keys;
};

/** Answers a fetch. */
struct Items
{
    std::vector<VersionedItem> items;
};

/**
 * A message between two daemons. Messages may be lost, repeated, delayed and reordered.
 */
struct PeerMessage
{
    using Body = std::variant<Ping, Ack, GossipPush, IndirectPing, IndirectAck, Exchange, Delta,
                              Fetch, Items>;

    /** The sender's record of itself. */
    MemberRecord sender;
    Body body;
};

/**
 * A message and its destination address.
 */
struct OutgoingMessage
{
    std::string to;
    PeerMessage message;
};

} // namespace bulrush
