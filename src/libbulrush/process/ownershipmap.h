#pragma once

#include "version/assignment.h"
#include "version/servicekeyrange.h"

#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/**
 * \returns the server manager of \a server, or an empty name. \pre \a managedServers is sorted by
 * server.
 */
Incarnation findManager(std::span<const ManagedServer> managedServers, const ServerName &server);

/**
 * A piece of a service's key space, its server, the server's fence for it and the daemon that
 * sends.
 */
struct OwnedPiece
{
    ServiceKeyRange piece;
    ServerName server;
    Incarnation manager;
    Fence fence;

    bool operator==(const OwnedPiece &) const = default;
};

/**
 * A piece whose server, server manager or fence is to change.
 */
struct PieceChange
{
    ServiceKeyRange piece;
    /** Empty if the piece had no owner. */
    ServerName from;
    Incarnation fromManager;
    Fence fromFence;
    ServerName to;
    Incarnation toManager;

    bool operator==(const PieceChange &) const = default;
};

/**
 * The owners of all pieces of the key space in one failure domain, as assigned by its leader.
 *
 * Not thread safe.
 */
class OwnershipMap
{
public:
    OwnershipMap() = default;
    explicit OwnershipMap(const Assignment &assignment);

    /** \returns all pieces, sorted, without overlaps. */
    std::span<const OwnedPiece> pieces() const;

    /** Replaces the parts that \a changed overlaps. \pre the pieces of \a changed are disjoint */
    void apply(std::vector<OwnedPiece> changed);

    /**
     * \returns the changes from this map to \a wanted, sorted by piece: different servers and
     * server managers, keys without an owner, and fences of an epoch before \a epoch. Pieces that
     * \a wanted does not contain remain unchanged.
     */
    std::vector<PieceChange> changesTo(const OwnershipMap &wanted, std::uint64_t epoch) const;

    /** \returns the piece that covers all of \a piece, if there is one. */
    std::optional<OwnedPiece> covering(const ServiceKeyRange &piece) const;

    /** \returns the slices of an equivalent assignment. */
    std::vector<SliceOwner> slices() const;

    /**
     * \returns the slices of an equivalent assignment, cut where a piece of \a layout begins or
     * ends. Takes time linear in both. \pre \a layout is sorted, without overlaps.
     */
    std::vector<SliceOwner> slices(std::span<const ServiceKeyRange> layout) const;

private:
    std::vector<OwnedPiece> m_pieces;
};

inline std::span<const OwnedPiece> OwnershipMap::pieces() const
{
    return m_pieces;
}

} // namespace bulrush
