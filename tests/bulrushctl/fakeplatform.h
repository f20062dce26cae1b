#pragma once

#include "platformtable.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bulrush::test {

/** A fault that is injected into one transaction. */
enum class Fault {
    None,
    NotSent,                 ///< nothing is sent to the platform
    AnswerLostAfterCommit,   ///< the writes take effect, the answer is lost
    LostBeforeCommit,        ///< the writes never take effect, the answer is lost
    AnswerLostCommitDelayed, ///< answer lost, the commit is attempted just before the next call
};

/**
 * An in-memory table that versions rows as the platform does, and injects faults.
 */
class FakePlatform final : public ctl::PlatformTable
{
public:
    /** Faults for the next transactions, in order; no faults when used up. */
    std::vector<Fault> faults;
    /** Whether reads and scans fail. */
    bool areReadsFailing = false;
    /** Called once, just before the next transaction is evaluated. */
    std::function<void()> beforeTransact;
    /** The hosts in the platform's list. */
    std::vector<ctl::ListedHost> listedHosts;
    int transactions = 0;

    ctl::RowsResult read(const std::vector<ctl::RowId> &ids) override;
    ctl::RowsResult scan(const std::string &table, const std::string &prefix) override;
    ctl::CommitResult transact(const ctl::Transaction &transaction) override;
    ctl::HostsResult hosts() override;

    /** Writes a row unconditionally, as another writer would. */
    void set(const ctl::RowId &id, const Json::Value &value);
    /** Deletes a row; its version count continues when the row is created again. */
    void remove(const ctl::RowId &id);
    ctl::TableRow row(const ctl::RowId &id) const;

private:
    struct Stored
    {
        std::uint64_t version = 0;
        Json::Value value;
    };

    ctl::CommitResult commit(const ctl::Transaction &transaction);
    void commitDelayed();

    std::map<std::string, std::map<std::string, Stored>> m_tables;
    std::vector<ctl::Transaction> m_delayed;
};

} // namespace bulrush::test
