#pragma once

#include <compare>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** The segments of a path, percent-decoded. */
using PathSegments = std::vector<std::string>;

/**
 * Splits the path of a request target at its slashes and decodes each segment, so that two
 * spellings of a path are not treated as two paths. A query is left out.
 * \returns nothing for a path that a backend server might interpret differently: not absolute, a
 * broken escape, a dot segment, or a segment with an encoded slash, backslash or control
 * character. Thread safe.
 */
std::optional<PathSegments> splitPath(std::string_view target);

/**
 * A path with placeholders, such as "/catalogue/{item}", that matches every path which begins with
 * its segments. Thread safe after construction.
 */
class PathPattern
{
public:
    /** One segment: a literal, or a placeholder that matches any non-empty text. */
    struct Segment
    {
        /** The literal, or the placeholder's name, which may be empty. */
        std::string text;
        bool isPlaceholder = false;

        bool operator==(const Segment &) const = default;
    };

    PathPattern() = default;

    /**
     * \returns the pattern parsed from \a text, or nothing if it is not an absolute path, or has an
     * empty segment, a character that paths must escape, or two placeholders with the same name.
     */
    static std::optional<PathPattern> parse(std::string_view text);

    /** The text from which the pattern was parsed. */
    const std::string &text() const;
    const std::vector<Segment> &segments() const;

    /** \returns whether \a path begins with this pattern's segments. */
    bool matches(std::span<const std::string> path) const;

    /** \returns the index of the segment with the placeholder \a name, or nothing. */
    std::optional<std::size_t> placeholder(std::string_view name) const;

    /** \returns whether both match the same paths, regardless of the names of placeholders. */
    bool isEquivalentTo(const PathPattern &other) const;

    /**
     * \returns whether this pattern takes precedence over \a other where both match: it has more
     * segments, or a literal at the first position where only one of them has a placeholder.
     */
    bool isMoreSpecificThan(const PathPattern &other) const;

    bool operator==(const PathPattern &) const = default;

private:
    std::string m_text;
    std::vector<Segment> m_segments;
};

inline const std::string &PathPattern::text() const
{
    return m_text;
}

inline const std::vector<PathPattern::Segment> &PathPattern::segments() const
{
    return m_segments;
}

} // namespace bulrush
