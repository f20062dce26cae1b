#include "process/ownershipmap.h"

#include <algorithm>

namespace bulrush {

namespace {

bool endsBefore(const OwnedPiece &owned, const ServiceKeyRange &piece)
{
    const int order = owned.piece.service.value().compare(piece.service.value());
    return order < 0 || (order == 0 && owned.piece.range.end < piece.range.begin);
}

bool byPiece(const OwnedPiece &first, const OwnedPiece &second)
{
    return first.piece < second.piece;
}

bool isContinuedBy(const OwnedPiece &first, const OwnedPiece &second)
{
    return first.piece.service == second.piece.service
        && first.piece.range.end + 1 == second.piece.range.begin && first.server == second.server
        && first.manager == second.manager && first.fence == second.fence;
}

std::vector<OwnedPiece> merged(std::vector<OwnedPiece> pieces)
{
    std::vector<OwnedPiece> result;
    for (OwnedPiece &piece : pieces) {
        if (!result.empty() && isContinuedBy(result.back(), piece))
            result.back().piece.range.end = piece.piece.range.end;
        else
            result.push_back(std::move(piece));
    }
    return result;
}

/** Adds the parts of \a owned outside of the sorted \a changed pieces to \a kept. */
void addRemainder(const OwnedPiece &owned, std::span<const OwnedPiece> changed,
                  std::vector<OwnedPiece> &kept)
{
    OwnedPiece rest = owned;
    auto cut = std::partition_point(changed.begin(), changed.end(), [&owned](const auto &entry) {
        return endsBefore(entry, owned.piece);
    });
    for (; cut != changed.end() && overlaps(cut->piece, rest.piece); ++cut) {
        if (rest.piece.range.begin < cut->piece.range.begin) {
            OwnedPiece left = rest;
            left.piece.range.end = cut->piece.range.begin - 1;
            kept.push_back(left);
        }
        if (cut->piece.range.end >= rest.piece.range.end)
            return;
        rest.piece.range.begin = cut->piece.range.end + 1;
    }
    kept.push_back(rest);
}

/** Adds \a owned to \a slices in parts, cut where a piece of \a layout begins or ends. */
void addParts(const OwnedPiece &owned, std::span<const ServiceKeyRange> layout,
              std::vector<SliceOwner> &slices)
{
    SliceRange rest = owned.piece.range;
    const auto addUpTo = [&](KeyHash end) {
        slices.push_back({owned.piece.service, {rest.begin, end}, owned.server, owned.fence});
        rest.begin = end + 1;
    };
    auto part = std::partition_point(layout.begin(), layout.end(), [&owned](const auto &entry) {
        return !overlaps(entry, owned.piece) && entry < owned.piece;
    });
    for (; part != layout.end() && overlaps(*part, owned.piece); ++part) {
        if (rest.begin < part->range.begin)
            addUpTo(part->range.begin - 1);
        if (rest.end <= part->range.end)
            break;
        addUpTo(part->range.end);
    }
    addUpTo(rest.end);
}

/** Collects the differences between a wanted piece and the owned pieces that overlap it. */
class ChangeCollector
{
public:
    ChangeCollector(std::span<const OwnedPiece> owned, std::uint64_t epoch)
        : m_owned(owned)
        , m_epoch(epoch)
    { }

    void collect(const OwnedPiece &wanted, std::vector<PieceChange> &changes) const
    {
        SliceRange rest = wanted.piece.range;
        auto owned = std::partition_point(m_owned.begin(), m_owned.end(), [&](const auto &entry) {
            return endsBefore(entry, wanted.piece);
        });
        for (; owned != m_owned.end() && overlaps(owned->piece, wanted.piece); ++owned) {
            const ServiceKeyRange common = commonPart(owned->piece, wanted.piece);
            if (rest.begin < common.range.begin)
                addUnowned(wanted, {rest.begin, common.range.begin - 1}, changes);
            addIfDifferent(wanted, *owned, common, changes);
            if (common.range.end == rest.end)
                return;
            rest.begin = common.range.end + 1;
        }
        addUnowned(wanted, rest, changes);
    }

private:
    static void addUnowned(const OwnedPiece &wanted, SliceRange range,
                           std::vector<PieceChange> &changes)
    {
        changes.push_back(
            {{wanted.piece.service, range}, {}, {}, {}, wanted.server, wanted.manager});
    }

    void addIfDifferent(const OwnedPiece &wanted, const OwnedPiece &owned,
                        const ServiceKeyRange &common, std::vector<PieceChange> &changes) const
    {
        const bool isSame = owned.server == wanted.server && owned.manager == wanted.manager
            && owned.fence.epoch >= m_epoch;
        if (!isSame) {
            changes.push_back(
                {common, owned.server, owned.manager, owned.fence, wanted.server, wanted.manager});
        }
    }

    std::span<const OwnedPiece> m_owned;
    std::uint64_t m_epoch;
};

} // namespace

Incarnation findManager(std::span<const ManagedServer> managedServers, const ServerName &server)
{
    const auto found = std::lower_bound(
        managedServers.begin(), managedServers.end(), server,
        [](const ManagedServer &entry, const ServerName &name) { return entry.server < name; });
    const bool isHit = found != managedServers.end() && found->server == server;
    return isHit ? found->manager : Incarnation{};
}

OwnershipMap::OwnershipMap(const Assignment &assignment)
{
    for (const SliceOwner &slice : assignment.slices) {
        m_pieces.push_back({{slice.service, slice.range},
                            slice.server,
                            findManager(assignment.managedServers, slice.server),
                            slice.fence});
    }
    std::sort(m_pieces.begin(), m_pieces.end(), byPiece);
}

void OwnershipMap::apply(std::vector<OwnedPiece> changed)
{
    std::sort(changed.begin(), changed.end(), byPiece);
    std::vector<OwnedPiece> pieces;
    for (const OwnedPiece &owned : m_pieces)
        addRemainder(owned, changed, pieces);
    pieces.insert(pieces.end(), changed.begin(), changed.end());
    std::sort(pieces.begin(), pieces.end(), byPiece);
    m_pieces = merged(std::move(pieces));
}

std::vector<PieceChange> OwnershipMap::changesTo(const OwnershipMap &wanted,
                                                 std::uint64_t epoch) const
{
    const ChangeCollector collector(m_pieces, epoch);
    std::vector<PieceChange> changes;
    for (const OwnedPiece &piece : wanted.m_pieces)
        collector.collect(piece, changes);
    return changes;
}

std::optional<OwnedPiece> OwnershipMap::covering(const ServiceKeyRange &piece) const
{
    const auto found =
        std::partition_point(m_pieces.begin(), m_pieces.end(),
                             [&](const auto &entry) { return endsBefore(entry, piece); });
    const bool isHit = found != m_pieces.end() && found->piece.service == piece.service
        && found->piece.range.begin <= piece.range.begin
        && piece.range.end <= found->piece.range.end;
    return isHit ? std::optional(*found) : std::nullopt;
}

std::vector<SliceOwner> OwnershipMap::slices() const
{
    std::vector<SliceOwner> slices;
    slices.reserve(m_pieces.size());
    for (const OwnedPiece &owned : m_pieces)
        slices.push_back({owned.piece.service, owned.piece.range, owned.server, owned.fence});
    return slices;
}

std::vector<SliceOwner> OwnershipMap::slices(std::span<const ServiceKeyRange> layout) const
{
    std::vector<SliceOwner> slices;
    slices.reserve(std::max(m_pieces.size(), layout.size()));
    for (const OwnedPiece &owned : m_pieces)
        addParts(owned, layout, slices);
    return slices;
}

} // namespace bulrush
