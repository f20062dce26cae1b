#include "request/requestcopies.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bulrush {

NotRunProof::NotRunProof(Kind kind)
    : m_kind(kind)
{ }

std::string_view nameOf(NotRunProof::Kind kind)
{
    return kind == NotRunProof::Kind::NeverSent ? "never-sent" : "denied";
}

RequestCopies::Number RequestCopies::add(std::string holder)
{
    m_copies.push_back({std::move(holder), State::Unsent, {}});
    return m_copies.size() - 1;
}

bool RequestCopies::release(Number number, Instant now)
{
    Copy &copy = m_copies.at(number);
    if (m_isClosed || copy.state != State::Unsent)
        return false;
    copy.state = State::AtHolder;
    copy.sentAt = now;
    return true;
}

void RequestCopies::recordDenial(Number number)
{
    Copy &copy = m_copies.at(number);
    if (copy.state == State::AtHolder)
        copy.state = State::Denied;
}

void RequestCopies::recordMayHaveRun(Number number)
{
    Copy &copy = m_copies.at(number);
    if (copy.state == State::AtHolder)
        copy.state = State::MayHaveRun;
}

bool RequestCopies::isAtHolder() const
{
    return hasCopy(State::AtHolder);
}

bool RequestCopies::mayHaveRun() const
{
    return hasCopy(State::MayHaveRun);
}

std::optional<NotRunProof> RequestCopies::proveNotRun()
{
    if (isAtHolder() || mayHaveRun())
        return std::nullopt;
    m_isClosed = true;
    return NotRunProof{hasCopy(State::Denied) ? NotRunProof::Kind::Denied
                                              : NotRunProof::Kind::NeverSent};
}

std::string RequestCopies::text(Instant start) const
{
    std::string result;
    for (const Copy &copy : m_copies) {
        result += (result.empty() ? "" : ",") + copy.holder;
        if (copy.state != State::Unsent) {
            const auto sent =
                std::chrono::duration_cast<std::chrono::milliseconds>(copy.sentAt - start);
            result += '@' + std::to_string(sent.count());
        }
        result += ':';
        result += nameOf(copy.state);
    }
    return result;
}

std::string_view RequestCopies::nameOf(State state)
{
    switch (state) {
    case State::Unsent:
        return "unsent";
    case State::AtHolder:
        return "at-holder";
    case State::Denied:
        return "denied";
    case State::MayHaveRun:
        break;
    }
    return "may-have-run";
}

bool RequestCopies::hasCopy(State state) const
{
    return std::ranges::any_of(m_copies, [state](const Copy &copy) { return copy.state == state; });
}

} // namespace bulrush
