#include "backend/granttable.h"

#include <algorithm>
#include <utility>

namespace bulrush::standins {

std::string_view reasonName(Refusal refusal)
{
    switch (refusal) {
    case Refusal::Shed:
        return "shed";
    case Refusal::Deadline:
        return "deadline";
    case Refusal::Fence:
        return "fence";
    case Refusal::NotOwner:
        return "not-owner";
    case Refusal::Draining:
        return "draining";
    case Refusal::Cold:
        return "cold";
    }
    return "";
}

GrantTable::GrantTable(bool checksFence)
    : m_checksFence(checksFence)
{ }

std::optional<Fence> GrantTable::grant(const GrantOrder &order)
{
    std::optional<Fence> highest;
    for (const Segment &segment : m_segments[order.service]) {
        if (overlaps(segment.range, order.range) && isSupersededBy(segment, order))
            highest = std::max(highest.value_or(Fence{}), segment.fence);
    }
    if (highest)
        return highest;

    replace(order, true);
    return std::nullopt;
}

void GrantTable::revoke(const GrantOrder &order)
{
    replace(order, false);
}

std::optional<Refusal> GrantTable::refusal(const std::string &service, KeyHash hash,
                                           Fence fence) const
{
    if (!m_checksFence)
        return std::nullopt;

    const auto segments = m_segments.find(service);
    if (segments == m_segments.end())
        return Refusal::NotOwner;

    for (const Segment &segment : segments->second) {
        if (!contains(segment.range, hash))
            continue;
        if (fence < segment.fence || (fence == segment.fence && !segment.isHeld))
            return Refusal::Fence;
        if (fence == segment.fence)
            return std::nullopt;
    }
    return Refusal::NotOwner;
}

std::vector<GrantOrder> GrantTable::held() const
{
    std::vector<GrantOrder> orders;
    for (const auto &[service, segments] : m_segments) {
        for (const Segment &segment : segments) {
            if (segment.isHeld)
                orders.push_back(GrantOrder{service, segment.range, segment.fence, segment.sender});
        }
    }
    return orders;
}

void GrantTable::replace(const GrantOrder &order, bool isHeld)
{
    const auto [begin, end] = order.range;
    Segments result;
    Segments kept;
    for (const Segment &segment : m_segments[order.service]) {
        if (!overlaps(segment.range, order.range)) {
            result.push_back(segment);
            continue;
        }
        if (segment.range.begin < begin)
            result.push_back(
                {{segment.range.begin, begin - 1}, segment.fence, segment.sender, segment.isHeld});
        if (segment.range.end > end)
            result.push_back(
                {{end + 1, segment.range.end}, segment.fence, segment.sender, segment.isHeld});
        const bool comparesFences = m_checksFence || !isHeld;
        if (comparesFences && segment.fence > order.fence)
            kept.push_back(
                {{std::max(begin, segment.range.begin), std::min(end, segment.range.end)},
                 segment.fence,
                 segment.sender,
                 segment.isHeld});
    }

    // The order covers the parts of its range that the kept segments leave free.
    KeyHash next = begin;
    bool isEndCovered = false;
    for (const Segment &segment : kept) {
        if (segment.range.begin > next)
            result.push_back({{next, segment.range.begin - 1}, order.fence, order.sender, isHeld});
        isEndCovered = segment.range.end == end;
        next = segment.range.end + 1;
        result.push_back(segment);
    }
    if (!isEndCovered)
        result.push_back({{next, end}, order.fence, order.sender, isHeld});

    std::sort(result.begin(), result.end(),
              [](const Segment &a, const Segment &b) { return a.range < b.range; });
    m_segments[order.service] = std::move(result);
}

bool GrantTable::isSupersededBy(const Segment &segment, const GrantOrder &order) const
{
    if (!m_checksFence)
        return false;

    return order.fence < segment.fence || (order.fence == segment.fence && !segment.isHeld);
}

} // namespace bulrush::standins
