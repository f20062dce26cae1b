#include "admission/keygate.h"

#include <algorithm>

namespace bulrush {

namespace {

/** \returns whether a request with \a hash is among the admitted \a share. */
bool isWithin(double share, std::uint64_t hash)
{
    constexpr std::uint64_t steps = 10'000;
    return static_cast<double>(hash % steps) < share * static_cast<double>(steps);
}

std::string sharesText(const std::vector<std::uint32_t> &priorities,
                       const std::vector<double> &byPriority)
{
    std::string text;
    for (std::size_t i = 0; i < byPriority.size(); ++i)
        text +=
            " priority-" + std::to_string(priorities.at(i)) + '=' + std::to_string(byPriority[i]);
    return text;
}

} // namespace

void KeyGate::set(std::span<const KeyShares> shares, Instant now)
{
    m_receivedAt = now;
    m_shares.clear();
    for (const KeyShares &received : shares) {
        Shares &known = m_shares[received.service];
        known.priorities = received.priorities;
        for (const KeyShare &share : received.shares)
            known.keys[share.key] = share;
        for (const OwnerShare &share : received.owners)
            known.owners[share.owner] = share.byPriority;
    }
}

KeyDecision KeyGate::decide(const KeyRequest &request, Instant now) const
{
    const Shares *shares = findShares(request.service, now);
    if (!shares)
        return KeyDecision::Admitted;
    const auto key = shares->keys.find(request.key);
    if (key != shares->keys.end()) {
        const KeyShare &share = key->second;
        const double admitted = share.byPriority.empty()
            ? share.share
            : shareOf(*shares, share.byPriority, request.priority);
        return isWithin(admitted, request.hash) ? KeyDecision::Admitted : KeyDecision::HotKey;
    }
    const auto owner = shares->owners.find(request.owner);
    if (owner == shares->owners.end()
        || isWithin(shareOf(*shares, owner->second, request.priority), request.hash))
        return KeyDecision::Admitted;
    return KeyDecision::BusyOwner;
}

bool KeyGate::admits(const ServiceName &service, KeyPosition key, std::uint64_t hash,
                     Instant now) const
{
    const Shares *shares = findShares(service, now);
    if (!shares)
        return true;
    const auto share = shares->keys.find(key);
    return share == shares->keys.end() || isWithin(share->second.share, hash);
}

std::string KeyGate::text(Instant now) const
{
    std::string text;
    if (now - m_receivedAt > validity)
        return text;
    for (const auto &[service, shares] : m_shares) {
        for (const auto &[key, share] : shares.keys)
            text += "key-share: " + service.value() + ' ' + std::to_string(key)
                + " all=" + std::to_string(share.share)
                + sharesText(shares.priorities, share.byPriority) + '\n';
        for (const auto &[owner, byPriority] : shares.owners)
            text += "owner-share: " + service.value() + ' ' + owner.value()
                + sharesText(shares.priorities, byPriority) + '\n';
    }
    return text;
}

/** \returns the one of the shares \a byPriority that applies to \a priority. */
double KeyGate::shareOf(const Shares &shares, const std::vector<double> &byPriority,
                        std::uint32_t priority)
{
    const auto next = std::ranges::upper_bound(shares.priorities, priority);
    const auto index = next == shares.priorities.begin() ? 0 : next - shares.priorities.begin() - 1;
    const auto place = static_cast<std::size_t>(index);
    return place < byPriority.size() ? byPriority[place] : 1.0;
}

const KeyGate::Shares *KeyGate::findShares(const ServiceName &service, Instant now) const
{
    if (now - m_receivedAt > validity)
        return nullptr;
    const auto shares = m_shares.find(service);
    return shares == m_shares.end() ? nullptr : &shares->second;
}

} // namespace bulrush
