#pragma once

#include "platform/storeclient.h"
#include "process/crashregistry.h"
#include "tablefollower.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bulrush {

/**
 * Executes the decisions of CrashRegistry: reports to other daemons, in a row of the table that all
 * follow, during which requests servers crashed here, and publishes the requests to block.
 *
 * Used on the control thread.
 */
class CrashControl
{
public:
    using QuarantineHandler = std::function<void(std::shared_ptr<const Quarantine>)>;

    /** \pre the dependencies outlive this object and its calls */
    CrashControl(const FollowerDependencies &deps, const HostName &self, QuarantineHandler publish);

    CrashControl(const CrashControl &) = delete;
    CrashControl &operator=(const CrashControl &) = delete;

    /** Applies changed rows of the table; rows other than daemons' crash rows are ignored. */
    void applyRows(const TableChange &change);

    /** Sets the daemons that have rows. */
    void setDaemons(std::vector<HostName> daemons);

    /** Records crashes that this daemon observed. */
    void applyReports(const std::vector<CrashReport> &reports);

    /** Records that this daemon got an answer to a request during which servers had crashed. */
    void recordAnswer(const RequestFingerprint &request);

    /** Admits a blocked or suspect request again. \returns whether there was such a request. */
    bool lift(const RequestFingerprint &request);

    /** \returns a page with a line for each request during which servers crashed. */
    std::string page() const;

    /** Writes and publishes what is due. To be called often. */
    void advance(Instant now);

private:
    void applyRow(const platform::StoreRow &row, Instant now);
    void applyMissingRows(const TableChange &change, Instant now);
    void write(const CrashRowWrite &action);
    void logBlockChanges(const Quarantine &next) const;

    platform::StoreClient &m_store;
    FollowPlan &m_plan;
    HostName m_self;
    QuarantineHandler m_publish;
    CrashRegistry m_crashes;
    std::shared_ptr<const Quarantine> m_quarantine = std::make_shared<const Quarantine>();
};

} // namespace bulrush
