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
 * Changes that a daemon passes on: whole records of members, but only headers of items.
 */
struct GossipUpdate
{
    std::vector<MemberRecord> members;
    std::vector<ItemHeader> items;
};

/**
 * What a daemon holds, in short.
 */
struct Summary
{
    std::uint64_t members = 0;
    std::uint64_t items = 0;
    /** How long ago the sender's contracts were known to be current; nothing if never. */
    std::optional<Duration> age;
};

/** Asks a member whether it is there. */
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

/** Passes news on; it is not answered. */
struct GossipPush
{
    GossipUpdate news;
};

/** Asks a member to ping another, which the sender can't reach. */
struct IndirectPing
{
    std::uint64_t sequence = 0;
    HostName target;
};

/** Tells that the target of an indirect ping answered. */
struct IndirectAck
{
    std::uint64_t sequence = 0;
    MemberRecord target;
};

/** Asks for what the receiver holds otherwise than the sender. */
struct Exchange
{
    BucketDigest::Buckets members{};
    BucketDigest::Buckets items{};
};

/** Answers an exchange, as far as a message's limits allow. */
struct Delta
{
    GossipUpdate news;
};

/** Asks for the bodies of items. */
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
 * What one daemon sends to another. Messages may be lost, repeated, late and out of order.
 */
struct PeerMessage
{
    using Body = std::variant<Ping, Ack, GossipPush, IndirectPing, IndirectAck, Exchange, Delta,
                              Fetch, Items>;

    /** The sender, as it describes itself. */
    MemberRecord sender;
    Body body;
};

/**
 * A message and the address it goes to.
 */
struct OutgoingMessage
{
    std::string to;
    PeerMessage message;
};

} // namespace bulrush
