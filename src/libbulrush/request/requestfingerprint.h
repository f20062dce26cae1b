#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** What makes two requests the same one, sent again: not its id, its deadline or its caller. */
struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    /** Path and query. */
    std::string_view target;
    std::string_view body;
};

/**
 * Stands for a request's identity. Two of a million different requests meet at one value by chance
 * once in some 40 million times.
 */
class RequestFingerprint
{
public:
    RequestFingerprint() = default;

    /** The fingerprint of \a identity. Each part counts with its length. */
    explicit RequestFingerprint(const RequestIdentity &identity);

    /** \returns the fingerprint that toString() wrote, or nothing if \a text is none. */
    static std::optional<RequestFingerprint> fromString(std::string_view text);

    /** \returns 16 hexadecimal digits. */
    std::string toString() const;

    auto operator<=>(const RequestFingerprint &) const = default;

private:
    std::uint64_t m_value = 0;
};

} // namespace bulrush
