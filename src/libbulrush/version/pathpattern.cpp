#include "version/pathpattern.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

std::optional<unsigned> hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return std::nullopt;
}

std::optional<char> decodedEscape(std::string_view text, std::size_t percent)
{
    if (percent + 2 >= text.size())
        return std::nullopt;

    const auto high = hexDigit(text[percent + 1]);
    const auto low = hexDigit(text[percent + 2]);
    if (!high || !low)
        return std::nullopt;
    return static_cast<char>(*high * 16 + *low);
}

/** Characters that some servers interpret as the end of a segment or of the path. */
bool isAmbiguous(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return c == '/' || c == '\\' || code < 0x20 || code == 0x7f;
}

std::optional<std::string> decodedSegment(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        char c = text[i];
        if (c == '%') {
            const auto escape = decodedEscape(text, i);
            if (!escape)
                return std::nullopt;
            c = *escape;
            i += 2;
        }
        if (isAmbiguous(c))
            return std::nullopt;
        decoded += c;
    }
    if (decoded == "." || decoded == "..")
        return std::nullopt;
    return decoded;
}

bool isPlain(char c)
{
    constexpr std::string_view unreserved = "-._~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
        || unreserved.find(c) != std::string_view::npos;
}

std::optional<PathPattern::Segment> parseSegment(std::string_view text)
{
    const bool isPlaceholder = text.size() >= 2 && text.front() == '{' && text.back() == '}';
    if (isPlaceholder)
        text = text.substr(1, text.size() - 2);
    else if (text.empty() || text == "." || text == "..")
        return std::nullopt;
    if (!std::ranges::all_of(text, isPlain))
        return std::nullopt;
    return PathPattern::Segment{std::string{text}, isPlaceholder};
}

bool isNamedTwice(std::span<const PathPattern::Segment> segments,
                  const PathPattern::Segment &candidate)
{
    return candidate.isPlaceholder && !candidate.text.empty()
        && std::ranges::find(segments, candidate) != segments.end();
}

/** \returns the text before the next slash, and removes both from \a rest. */
std::string_view takeSegment(std::string_view &rest)
{
    const std::size_t slash = rest.find('/');
    const std::string_view segment = rest.substr(0, slash);
    rest = slash == std::string_view::npos ? std::string_view{} : rest.substr(slash + 1);
    return segment;
}

} // namespace

std::optional<PathSegments> splitPath(std::string_view target)
{
    std::string_view rest = target.substr(0, target.find('?'));
    if (!rest.starts_with('/') || rest.find('#') != std::string_view::npos)
        return std::nullopt;
    rest.remove_prefix(1);

    PathSegments segments;
    const std::size_t count = std::ranges::count(rest, '/') + 1;
    for (std::size_t i = 0; i < count; ++i) {
        auto segment = decodedSegment(takeSegment(rest));
        if (!segment)
            return std::nullopt;
        segments.push_back(std::move(*segment));
    }
    return segments;
}

std::optional<PathPattern> PathPattern::parse(std::string_view text)
{
    PathPattern pattern;
    pattern.m_text = text;
    if (!text.starts_with('/'))
        return std::nullopt;

    std::string_view rest = text.substr(1);
    const bool isRoot = rest.empty();
    const std::size_t count = isRoot ? 0 : std::ranges::count(rest, '/') + 1;
    for (std::size_t i = 0; i < count; ++i) {
        auto segment = parseSegment(takeSegment(rest));
        if (!segment || isNamedTwice(pattern.m_segments, *segment))
            return std::nullopt;
        pattern.m_segments.push_back(std::move(*segment));
    }
    return pattern;
}

bool PathPattern::matches(std::span<const std::string> path) const
{
    if (path.size() < m_segments.size())
        return false;

    return std::ranges::equal(m_segments, path.first(m_segments.size()),
                              [](const Segment &segment, const std::string &text) {
                                  return segment.isPlaceholder ? !text.empty()
                                                               : segment.text == text;
                              });
}

std::optional<std::size_t> PathPattern::placeholder(std::string_view name) const
{
    const auto found = std::ranges::find_if(m_segments, [&](const Segment &segment) {
        return segment.isPlaceholder && segment.text == name;
    });
    if (found == m_segments.end())
        return std::nullopt;
    return found - m_segments.begin();
}

bool PathPattern::isEquivalentTo(const PathPattern &other) const
{
    return std::ranges::equal(m_segments, other.m_segments,
                              [](const Segment &first, const Segment &second) {
                                  if (first.isPlaceholder || second.isPlaceholder)
                                      return first.isPlaceholder == second.isPlaceholder;
                                  return first.text == second.text;
                              });
}

bool PathPattern::isMoreSpecificThan(const PathPattern &other) const
{
    if (m_segments.size() != other.m_segments.size())
        return m_segments.size() > other.m_segments.size();

    const auto differing = std::ranges::mismatch(m_segments, other.m_segments, {},
                                                 &Segment::isPlaceholder, &Segment::isPlaceholder);
    return differing.in1 != m_segments.end() && !differing.in1->isPlaceholder;
}

} // namespace bulrush
