#pragma once

#include "version/fence.h"
#include "version/slice.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::standins {

/** A request to grant or to revoke a range. */
struct GrantOrder
{
    std::string service;
    SliceRange range;
    Fence fence;
    std::string sender;
};

/** Why work is refused before it starts; the names are those of the backend interface. */
enum class Refusal { Shed, Deadline, Fence, NotOwner, Draining, Cold };

/** \returns the name of \a refusal on the wire. */
std::string_view reasonName(Refusal refusal);

/**
 * The key ranges that were granted to a server, and those that were revoked. Revoked ranges keep
 * their fencing token, so that orders that arrive late are detected. Not thread safe.
 */
class GrantTable
{
public:
    /**
     * \param checksFence whether grants and work are compared with the fences of earlier orders; if
     * not, all of them are accepted.
     */
    explicit GrantTable(bool checksFence);

    /**
     * Applies a grant.
     * \returns the highest fence that supersedes it, with nothing changed, if there is one.
     */
    std::optional<Fence> grant(const GrantOrder &order);

    /** Revokes the parts of the order's range that have its fence or a lower one. */
    void revoke(const GrantOrder &order);

    /** \returns why work for \a hash with \a fence is refused, or nothing if it is accepted. */
    std::optional<Refusal> refusal(const std::string &service, KeyHash hash, Fence fence) const;

    /** \returns the current grants, sorted by service and range. */
    std::vector<GrantOrder> held() const;

private:
    struct Segment
    {
        SliceRange range;
        Fence fence;
        std::string sender;
        bool isHeld = false;
    };
    /** Sorted by range, without overlaps. */
    using Segments = std::vector<Segment>;

    void replace(const GrantOrder &order, bool isHeld);
    bool isSupersededBy(const Segment &segment, const GrantOrder &order) const;

    bool m_checksFence;
    std::map<std::string, Segments> m_segments;
};

} // namespace bulrush::standins
