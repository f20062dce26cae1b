#include "linediff.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace bulrush::ctl {

namespace {

constexpr std::size_t contextLines = 3;
/**
 * Limits the memory of the comparison. If the changed parts have more pairs of lines than this,
 * they are shown as completely replaced.
 */
constexpr std::size_t maxLinePairs = 16'000'000;

using Lines = std::vector<std::string_view>;

/** One line of a diff; the sign is ' ' for kept, '-' for removed and '+' for added lines. */
struct Edit
{
    char sign = ' ';
    std::string_view line;
};

using Edits = std::vector<Edit>;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return lines;
}

void append(Edits &edits, char sign, std::span<const std::string_view> lines)
{
    for (const std::string_view line : lines)
        edits.push_back({sign, line});
}

/**
 * Computes the longest common subsequence of the lines of two texts by dynamic programming over all
 * pairs of suffixes.
 */
class CommonLines
{
public:
    CommonLines(std::span<const std::string_view> before, std::span<const std::string_view> after);

    void appendTo(Edits &edits) const;

private:
    std::uint32_t &length(std::size_t i, std::size_t j);
    std::uint32_t length(std::size_t i, std::size_t j) const;

    std::span<const std::string_view> m_before;
    std::span<const std::string_view> m_after;
    std::vector<std::uint32_t> m_lengths;
};

CommonLines::CommonLines(std::span<const std::string_view> before,
                         std::span<const std::string_view> after)
    : m_before(before)
    , m_after(after)
    , m_lengths((before.size() + 1) * (after.size() + 1))
{
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            const bool isSame = before[i] == after[j];
            length(i, j) =
                isSame ? length(i + 1, j + 1) + 1 : std::max(length(i + 1, j), length(i, j + 1));
        }
    }
}

void CommonLines::appendTo(Edits &edits) const
{
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < m_before.size() && j < m_after.size()) {
        if (m_before[i] == m_after[j]) {
            edits.push_back({' ', m_before[i]});
            ++i;
            ++j;
        } else if (length(i + 1, j) >= length(i, j + 1)) {
            edits.push_back({'-', m_before[i++]});
        } else {
            edits.push_back({'+', m_after[j++]});
        }
    }
    append(edits, '-', m_before.subspan(i));
    append(edits, '+', m_after.subspan(j));
}

std::uint32_t &CommonLines::length(std::size_t i, std::size_t j)
{
    return m_lengths[i * (m_after.size() + 1) + j];
}

std::uint32_t CommonLines::length(std::size_t i, std::size_t j) const
{
    return m_lengths[i * (m_after.size() + 1) + j];
}

Edits computeEdits(const Lines &before, const Lines &after)
{
    const std::size_t shorter = std::min(before.size(), after.size());
    std::size_t head = 0;
    while (head < shorter && before[head] == after[head])
        ++head;
    std::size_t tail = 0;
    while (tail < shorter - head
           && before[before.size() - 1 - tail] == after[after.size() - 1 - tail])
        ++tail;

    const auto middleBefore = std::span{before}.subspan(head, before.size() - head - tail);
    const auto middleAfter = std::span{after}.subspan(head, after.size() - head - tail);
    Edits edits;
    append(edits, ' ', std::span{before}.first(head));
    if (middleBefore.size() * middleAfter.size() <= maxLinePairs) {
        CommonLines{middleBefore, middleAfter}.appendTo(edits);
    } else {
        append(edits, '-', middleBefore);
        append(edits, '+', middleAfter);
    }
    append(edits, ' ', std::span{before}.last(tail));
    return edits;
}

/** The range of edits that holds a group of neighbouring changes with their context. */
struct Hunk
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

std::vector<Hunk> computeHunks(const Edits &edits)
{
    std::vector<Hunk> hunks;
    for (std::size_t i = 0; i < edits.size(); ++i) {
        if (edits[i].sign == ' ')
            continue;
        const std::size_t begin = i - std::min(i, contextLines);
        const std::size_t end = std::min(i + 1 + contextLines, edits.size());
        if (!hunks.empty() && begin <= hunks.back().end)
            hunks.back().end = end;
        else
            hunks.push_back({begin, end});
    }
    return hunks;
}

std::size_t countWithout(std::span<const Edit> edits, char sign)
{
    return std::ranges::count_if(edits, [sign](const Edit &edit) { return edit.sign != sign; });
}

/** \returns a range in unified diff format, where an empty range starts at the line before it. */
std::string rangeText(std::size_t linesBefore, std::size_t count)
{
    const std::size_t start = count == 0 ? linesBefore : linesBefore + 1;
    return std::to_string(start) + "," + std::to_string(count);
}

std::string hunkText(std::span<const Edit> edits, Hunk hunk)
{
    const auto above = edits.first(hunk.begin);
    const auto inside = edits.subspan(hunk.begin, hunk.end - hunk.begin);
    std::string text = "@@ -" + rangeText(countWithout(above, '+'), countWithout(inside, '+'))
        + " +" + rangeText(countWithout(above, '-'), countWithout(inside, '-')) + " @@\n";
    for (const Edit &edit : inside)
        text.append(1, edit.sign).append(edit.line).append("\n");
    return text;
}

} // namespace

std::string lineDiff(std::string_view before, std::string_view after, const DiffNames &names)
{
    const Lines linesBefore = splitLines(before);
    const Lines linesAfter = splitLines(after);
    const Edits edits = computeEdits(linesBefore, linesAfter);
    const std::vector<Hunk> hunks = computeHunks(edits);
    if (hunks.empty())
        return {};

    std::string text = "--- " + names.before + "\n+++ " + names.after + "\n";
    for (const Hunk hunk : hunks)
        text += hunkText(edits, hunk);
    return text;
}

} // namespace bulrush::ctl
