#include "rowwriteresults.h"

#include "platform/storeclient.h"

namespace bulrush {

RowWriteResult rowWriteResultOf(std::error_code error)
{
    if (!error)
        return RowWriteResult::Done;
    const bool isCertain = error == platform::StoreError::NotExecuted
        || error == platform::StoreError::ConditionFailed;
    return isCertain ? RowWriteResult::Refused : RowWriteResult::Unknown;
}

} // namespace bulrush
