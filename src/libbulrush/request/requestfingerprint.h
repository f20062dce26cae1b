#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/**
 * The parts of a request that identify a repetition of it. The request id, the deadline and the
 * caller are not among them.
 */
struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    /** Path and query. */
    std::string_view target;
    std::string_view body;
};

/**
 * 64-bit hash of a request's identity. The probability that any two of a million different requests
 * have the same fingerprint is about 1 in 40 million.
 */
class RequestFingerprint
{
public:
    RequestFingerprint() = default;

    /** Hashes each part of \a identity together with its length. */
    explicit RequestFingerprint(const RequestIdentity &identity);

    /** \returns the fingerprint that toString() wrote, or nothing if \a text is not valid. */
    static std::optional<RequestFingerprint> fromString(std::string_view text);

    /** \returns 16 hexadecimal digits. */
    std::string toString() const;

    auto operator<=>(const RequestFingerprint &) const = default;

private:
    std::uint64_t m_value = 0;
};

} // namespace bulrush
