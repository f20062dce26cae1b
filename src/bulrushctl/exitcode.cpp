#include "exitcode.h"

#include <string>

namespace bulrush::ctl {

namespace {

class CtlErrorCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "bulrush.ctl";
    }

    std::string message(int value) const override
    {
        switch (static_cast<CtlError>(value)) {
        case CtlError::Unreachable:
            return "no answer";
        case CtlError::Unknown:
            return "no answer, and the write may have taken effect";
        case CtlError::Refused:
            return "refused";
        case CtlError::BadAnswer:
            return "the answer can't be understood";
        case CtlError::NotFound:
            return "there is no such thing";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &ctlErrorCategory()
{
    static const CtlErrorCategory category;
    return category;
}

std::error_code make_error_code(CtlError error)
{
    return {static_cast<int>(error), ctlErrorCategory()};
}

ExitCode exitCodeFor(const std::error_code &error)
{
    if (!error)
        return ExitCode::Done;
    if (error == CtlError::Unreachable || error == CtlError::BadAnswer)
        return ExitCode::Unreachable;
    if (error == CtlError::Unknown)
        return ExitCode::Unknown;
    return ExitCode::Refused;
}

} // namespace bulrush::ctl
