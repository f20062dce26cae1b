#include "process/memberrecord.h"

#include <tuple>

namespace bulrush {

namespace {

auto rankOf(const MemberRecord &record)
{
    return std::tie(record.generation, record.incarnation, record.counter, record.state);
}

} // namespace

bool supersedes(const MemberRecord &candidate, const MemberRecord &held)
{
    return rankOf(candidate) > rankOf(held);
}

} // namespace bulrush
