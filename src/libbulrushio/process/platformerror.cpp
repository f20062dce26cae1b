#include "process/platformerror.h"

#include <string>

namespace bulrush::io {

namespace {

const char *description(PlatformError error)
{
    switch (error) {
    case PlatformError::NotReached:
        return "could not connect to the platform";
    case PlatformError::ConnectionLost:
        return "the connection to the platform broke during the call";
    case PlatformError::TimedOut:
        return "the platform did not answer within the timeout";
    case PlatformError::Unavailable:
        return "the platform could not serve the call";
    case PlatformError::Rejected:
        return "the platform rejected the call as malformed";
    case PlatformError::NotFound:
        return "the object does not exist on the platform";
    case PlatformError::NotChangeable:
        return "a different object of that name exists on the platform";
    case PlatformError::BadAnswer:
        return "the platform's answer violates the interface";
    case PlatformError::AlreadyApplied:
        return "an earlier attempt of the transaction took effect";
    case PlatformError::RowsUnchanged:
        return "the rows are unchanged, and the transaction may still take effect";
    }
    return "unknown error of the platform";
}

class PlatformCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "platform";
    }

    std::string message(int value) const override
    {
        return description(static_cast<PlatformError>(value));
    }
};

} // namespace

const std::error_category &platformCategory() noexcept
{
    static const PlatformCategory category;
    return category;
}

std::error_code make_error_code(PlatformError error) noexcept
{
    return {static_cast<int>(error), platformCategory()};
}

} // namespace bulrush::io
