#include "request/requestfingerprint.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace bulrush {

namespace {

constexpr std::size_t digitCount = 16;
constexpr int numberBase = 16;

/** \returns the hash of \a part and its length, seeded with the hash \a previous. */
std::uint64_t combineHash(std::uint64_t previous, std::string_view part)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(part.data(), part.size(), previous);
    const std::array<std::uint64_t, 2> numbers{hash, part.size()};
    return XXH3_64bits(numbers.data(), sizeof(numbers));
}

} // namespace

RequestFingerprint::RequestFingerprint(const RequestIdentity &identity)
{
    for (const std::string_view part :
         {identity.method, identity.host, identity.target, identity.body})
        m_value = combineHash(m_value, part);
}

std::optional<RequestFingerprint> RequestFingerprint::fromString(std::string_view text)
{
    RequestFingerprint fingerprint;
    if (text.size() != digitCount)
        return std::nullopt;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), fingerprint.m_value, numberBase);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return fingerprint;
}

std::string RequestFingerprint::toString() const
{
    std::array<char, digitCount + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(m_value));
    return text.data();
}

} // namespace bulrush
