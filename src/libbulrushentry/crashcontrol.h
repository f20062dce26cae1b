#pragma once

#include "platform/storeclient.h"
#include "process/crashledger.h"
#include "tablefollower.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bulrush {

/**
 * Carries out what CrashLedger decides: tells other daemons, by a row of the table that all follow,
 * under which requests servers ended here, and hands on which requests are kept from servers.
 *
 * Used on the control thread.
 */
class CrashControl
{
public:
    using QuarantineHandler = std::function<void(std::shared_ptr<const Quarantine>)>;

    /** \pre the parts outlive this object and its calls */
    CrashControl(const FollowerDependencies &parts, const HostName &self,
                 QuarantineHandler publish);

    CrashControl(const CrashControl &) = delete;
    CrashControl &operator=(const CrashControl &) = delete;

    /** Takes in rows of the table; those of others than daemons' crash rows are passed over. */
    void takeRows(const TableChange &change);

    /** Takes in the daemons that have rows. */
    void setDaemons(std::vector<HostName> daemons);

    /** Takes in what this daemon saw. */
    void reported(const std::vector<CrashReport> &reports);

    /** Takes in that this daemon got an answer to a request under which servers had ended. */
    void answered(const RequestFingerprint &request);

    /** Lets a blocked or suspect request through again. \returns whether there is such a one. */
    bool lift(const RequestFingerprint &request);

    /** \returns a page with a line for each request under which servers ended. */
    std::string page() const;

    /** Does what is due. To be called often. */
    void advance(Instant now);

private:
    void takeRow(const platform::StoreRow &row, Instant now);
    void noteMissing(const TableChange &change, Instant now);
    void write(const CrashRowWrite &action);
    void logBlocked(const Quarantine &next) const;

    platform::StoreClient &m_store;
    FollowPlan &m_plan;
    HostName m_self;
    QuarantineHandler m_publish;
    CrashLedger m_ledger;
    std::shared_ptr<const Quarantine> m_quarantine = std::make_shared<const Quarantine>();
};

} // namespace bulrush
