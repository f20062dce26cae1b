#pragma once

#include "commitwithretries.h"
#include "version/identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::ctl {

/** A current or past version of a contract, as stored in the platform's table. */
struct StoredContract
{
    OrganisationName organisation;
    /** The version of its row; 0 if the contract does not exist. */
    std::uint64_t version = 0;
    std::string text;
    std::string changedBy;
    std::string requestId;
};

/** Contracts, or the reason why they could not be read. */
struct ContractsResult
{
    std::error_code error;
    std::string cause;
    std::vector<StoredContract> contracts;
};

/** The author of a change to a contract, and the unique id of the change. */
struct ChangeAuthor
{
    std::string changedBy;
    std::string requestId;
};

/** A new text for a contract, which replaces one version. */
struct ContractChange
{
    OrganisationName organisation;
    /** The version that the text was edited from; 0 for a new contract. */
    std::uint64_t baseVersion = 0;
    /** A valid contract. */
    std::string text;
    ChangeAuthor author;
};

/** The outcome of a change. */
enum class ChangeOutcome {
    Accepted,
    Conflict,    ///< another change was first; this one has not taken effect and never will
    Refused,     ///< the platform refused the change
    Unreachable, ///< the change was not sent
    Unknown,     ///< the change may have taken effect, or may still do so
};

struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    /** The new version, if accepted. */
    std::uint64_t version = 0;
    /** The contract that is in force instead, if there was a conflict. */
    StoredContract current;
    std::string cause;
};

/**
 * Reads and changes contracts in the platform's table, which holds the current contract and the
 * history of each organisation.
 *
 * A change is a compare-and-set on the version of the row, so it takes effect at most once even if
 * it is sent again. After a lost answer, the history row of the new version is read: its request id
 * shows which change created it.
 *
 * Not thread safe.
 */
class ContractStore
{
public:
    ContractStore(PlatformTable &table, std::string writer, RetryPolicy policy);

    /** \returns one entry, the current contract of \a organisation; version 0 if there is none. */
    ContractsResult current(const OrganisationName &organisation);

    /** \returns one entry, the contract as of \a version; version 0 if that is not stored. */
    ContractsResult pastVersion(const OrganisationName &organisation, std::uint64_t version);

    /** \returns the current contracts of all organisations, ordered by name. */
    ContractsResult list();

    /** \returns all stored versions of a contract, oldest first. */
    ContractsResult history(const OrganisationName &organisation);

    /** Writes \a change, and retries until its outcome is known or the attempts are used up. */
    ChangeResult apply(const ContractChange &change);

private:
    ChangeResult applyOnce(const ContractChange &change);
    Transaction transactionFor(const ContractChange &change) const;
    ChangeResult conflictResult(const ContractChange &change, const CommitResult &result);
    /** \returns the outcome of a change whose answer was lost, or nothing if still undecided. */
    std::optional<CommitResult> resolveOutcome(const ContractChange &change);

    PlatformTable &m_table;
    std::string m_writer;
    RetryPolicy m_policy;
};

} // namespace bulrush::ctl
