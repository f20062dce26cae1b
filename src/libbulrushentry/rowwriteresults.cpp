#include "rowwriteresults.h"

#include "platform/storeclient.h"

namespace bulrush {

RowWriteEnd rowWriteResultOf(std::error_code error)
{
    if (!error)
        return RowWriteEnd::Done;
    const bool isCertain =
        error == platform::StoreError::NotDone || error == platform::StoreError::ConditionFailed;
    return isCertain ? RowWriteEnd::Refused : RowWriteEnd::Unknown;
}

} // namespace bulrush
