#include "request/requestfingerprint.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace bulrush {

namespace {

constexpr std::size_t digits = 16;
constexpr int hexadecimal = 16;

/** \returns the hash of \a part, which goes on from \a before. */
std::uint64_t hashOn(std::uint64_t before, std::string_view part)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(part.data(), part.size(), before);
    const std::array<std::uint64_t, 2> numbers{hash, part.size()};
    return XXH3_64bits(numbers.data(), sizeof(numbers));
}

} // namespace

RequestFingerprint::RequestFingerprint(const RequestIdentity &identity)
{
    for (const std::string_view part :
         {identity.method, identity.host, identity.target, identity.body})
        m_value = hashOn(m_value, part);
}

std::optional<RequestFingerprint> RequestFingerprint::fromString(std::string_view text)
{
    RequestFingerprint fingerprint;
    if (text.size() != digits)
        return std::nullopt;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), fingerprint.m_value, hexadecimal);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return fingerprint;
}

std::string RequestFingerprint::toString() const
{
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(m_value));
    return text.data();
}

} // namespace bulrush
