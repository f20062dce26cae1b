#include "contractcommands.h"

#include "contracttext.h"
#include "daemonaccess.h"
#include "jsontext.h"
#include "linediff.h"
#include "process/hostclock.h"
#include "process/jsonreader.h"
#include "process/yamlfile.h"
#include "rolloutreport.h"
#include "texttable.h"
#include "version/contractreader.h"

#include <thread>

namespace bulrush::ctl {

namespace {

using namespace std::chrono_literals;

constexpr Duration pollInterval = 300ms;

std::string versionLabel(const OrganisationName &organisation, std::uint64_t version)
{
    if (version == 0)
        return organisation.value() + " (no contract)";
    return organisation.value() + " version " + std::to_string(version);
}

std::string submittedLabel(std::uint64_t baseVersion)
{
    return "yours, made from version " + std::to_string(baseVersion);
}

Json::Value toJson(const StoredContract &contract)
{
    Json::Value json{Json::objectValue};
    json["organisation"] = contract.organisation.value();
    json["version"] = Json::UInt64{contract.version};
    json["changedBy"] = contract.changedBy;
    json["text"] = contract.text;
    return json;
}

Json::Value toJson(const RolloutReport &report)
{
    Json::Value json{Json::objectValue};
    json["inForce"] = Json::UInt64{report.inForce};
    json["hosts"] = Json::UInt64{report.hosts};
    json["missing"] = Json::Value{Json::arrayValue};
    for (const MissingHost &missing : report.missing) {
        Json::Value entry{Json::objectValue};
        entry["host"] = missing.host;
        entry["reason"] = missing.reason;
        json["missing"].append(std::move(entry));
    }
    return json;
}

} // namespace

ContractCommands::ContractCommands(ContractStore &store, const DaemonAccess &daemons,
                                   Console &console)
    : m_store(store)
    , m_daemons(daemons)
    , m_console(console)
{ }

ExitCode ContractCommands::get(const OrganisationName &organisation,
                               std::optional<std::uint64_t> version)
{
    const ContractsResult result =
        version ? m_store.pastVersion(organisation, *version) : m_store.current(organisation);
    const auto contract = singleContract(result);
    if (!contract)
        return exitCodeFor(result.error);
    if (contract->version == 0)
        return refuse("there is no contract of " + organisation.value()
                      + (version ? " with version " + std::to_string(*version) : ""));

    if (m_console.isJson())
        m_console.out << indentedText(toJson(*contract));
    else
        m_console.out << contract->text;
    return ExitCode::Done;
}

ExitCode ContractCommands::put(const std::string &path, const ChangeOptions &options)
{
    auto change = changeFromFile(path);
    if (!change)
        return ExitCode::Refused;

    const ContractsResult result = m_store.current(change->organisation);
    const auto current = singleContract(result);
    if (!current)
        return exitCodeFor(result.error);
    if (current->version != change->baseVersion)
        return reportConflict(*change, *current);
    change->author = options.author;
    return this->confirmAndApply(*current, *change, options);
}

ExitCode ContractCommands::diff(const std::string &path)
{
    const auto change = changeFromFile(path);
    if (!change)
        return ExitCode::Refused;

    const ContractsResult result = m_store.current(change->organisation);
    const auto current = singleContract(result);
    if (!current)
        return exitCodeFor(result.error);

    const std::string difference = lineDiff(current->text, change->text,
                                            {versionLabel(current->organisation, current->version),
                                             submittedLabel(change->baseVersion)});
    m_console.out << (difference.empty() ? "no difference\n" : difference);
    return current->version == change->baseVersion ? ExitCode::Done : ExitCode::Conflict;
}

ExitCode ContractCommands::list()
{
    const ContractsResult result = m_store.list();
    if (result.error)
        return fail(result.error, result.cause);
    printTable(result);
    return ExitCode::Done;
}

ExitCode ContractCommands::history(const OrganisationName &organisation)
{
    const ContractsResult result = m_store.history(organisation);
    if (result.error)
        return fail(result.error, result.cause);
    if (result.contracts.empty())
        return refuse("there is no contract of " + organisation.value());
    printTable(result);
    return ExitCode::Done;
}

ExitCode ContractCommands::rollback(const OrganisationName &organisation, std::uint64_t version,
                                    const ChangeOptions &options)
{
    const ContractsResult currentResult = m_store.current(organisation);
    const auto current = singleContract(currentResult);
    if (!current)
        return exitCodeFor(currentResult.error);
    const ContractsResult pastResult = m_store.pastVersion(organisation, version);
    const auto past = singleContract(pastResult);
    if (!past)
        return exitCodeFor(pastResult.error);
    if (past->version == 0)
        return refuse("version " + std::to_string(version) + " of the contract of "
                      + organisation.value() + " is not kept");

    const auto text = withVersion(past->text, current->version);
    if (!text)
        return refuse("version " + std::to_string(version)
                      + " is no valid contract for this bulrushctl; get it, mend it and put it");
    return confirmAndApply(*current, {organisation, current->version, *text, options.author},
                           options);
}

ExitCode ContractCommands::confirmAndApply(const StoredContract &current,
                                           const ContractChange &change,
                                           const ChangeOptions &options)
{
    const std::string difference = lineDiff(
        current.text, change.text,
        {versionLabel(current.organisation, current.version), submittedLabel(change.baseVersion)});
    if (difference.empty()) {
        m_console.err << "nothing to change: this is "
                      << versionLabel(current.organisation, current.version) << "\n";
        return ExitCode::Done;
    }
    m_console.err << difference;
    const std::string question = "Put this as version " + std::to_string(change.baseVersion + 1)
        + " of the contract of " + change.organisation.value() + "?";
    if (!options.isConfirmed && !confirm(m_console, question))
        return refuse("nothing was changed");
    return report(change, m_store.apply(change), options);
}

ExitCode ContractCommands::report(const ContractChange &change, const ChangeResult &result,
                                  const ChangeOptions &options)
{
    switch (result.outcome) {
    case ChangeOutcome::Accepted:
        return reportAccepted(change, result.version, options);
    case ChangeOutcome::Conflict:
        return reportConflict(change, result.current);
    case ChangeOutcome::Refused:
        return refuse("the platform refused it: " + result.cause);
    case ChangeOutcome::Unreachable:
        m_console.err << "error: nothing was sent: " << result.cause << "\n";
        return ExitCode::Unreachable;
    case ChangeOutcome::Unknown:
        break;
    }
    m_console.err
        << "error: unknown outcome: " << result.cause << "\n"
        << "The change may have been accepted, or may still be. Before you try again, see\n"
        << "  bulrushctl contract history " << change.organisation.value() << "\n";
    return ExitCode::Unknown;
}

ExitCode ContractCommands::reportAccepted(const ContractChange &change, std::uint64_t version,
                                          const ChangeOptions &options)
{
    if (m_console.isJson()) {
        Json::Value json{Json::objectValue};
        json["organisation"] = change.organisation.value();
        json["version"] = Json::UInt64{version};
        m_console.out << io::toCompactJson(json) << "\n";
    } else {
        m_console.out << "accepted: " << versionLabel(change.organisation, version) << "\n";
    }
    if (!options.waitTimeout)
        return ExitCode::Done;
    return waitUntilInForce(change.organisation, version, *options.waitTimeout);
}

ExitCode ContractCommands::reportConflict(const ContractChange &change,
                                          const StoredContract &current)
{
    m_console.err << "error: refused: " << submittedLabel(change.baseVersion)
                  << ", but the contract is " << versionLabel(change.organisation, current.version);
    if (current.version != 0)
        m_console.err << ", changed by " << current.changedBy;
    m_console.err << "\n"
                  << lineDiff(current.text, change.text,
                              {versionLabel(change.organisation, current.version),
                               submittedLabel(change.baseVersion)})
                  << "Nothing was merged. Get the contract again and make your change in it.\n";
    return ExitCode::Conflict;
}

ExitCode ContractCommands::waitUntilInForce(const OrganisationName &organisation,
                                            std::uint64_t version, Duration waitTimeout)
{
    const Instant start = io::hostNow();
    std::string lastText;
    while (true) {
        const RolloutReport report = rolloutReport(m_daemons.status(), organisation, version);
        const auto waited =
            std::chrono::duration_cast<std::chrono::milliseconds>(io::hostNow() - start);
        const bool isDone = report.hosts > 0 && report.missing.empty();
        const bool isOver = isDone || waited >= waitTimeout;
        const std::string text = toText(report);
        if (m_console.isJson() && isOver)
            m_console.out << io::toCompactJson(toJson(report)) << "\n";
        if (!m_console.isJson() && (isOver || text != lastText))
            m_console.out << "after " << waited.count() << " ms: " << text << std::flush;
        if (isOver)
            return isDone ? ExitCode::Done : ExitCode::Unreachable;
        lastText = text;
        std::this_thread::sleep_for(pollInterval);
    }
}

ExitCode ContractCommands::fail(const std::error_code &error, const std::string &cause)
{
    m_console.err << "error: " << error.message() << ": " << cause << "\n";
    return exitCodeFor(error);
}

ExitCode ContractCommands::refuse(const std::string &reason)
{
    m_console.err << "error: " << reason << "\n";
    return ExitCode::Refused;
}

std::optional<StoredContract> ContractCommands::singleContract(const ContractsResult &result)
{
    if (!result.error && result.contracts.size() == 1)
        return result.contracts.front();
    fail(result.error, result.cause);
    return std::nullopt;
}

std::optional<ContractChange> ContractCommands::changeFromFile(const std::string &path)
{
    const io::FileText file = io::readTextFile(path);
    if (file.error) {
        m_console.err << path << ": " << file.error.message() << "\n";
        return std::nullopt;
    }
    const io::ContractResult reading = io::readContract(file.text, path);
    for (const io::ConfigProblem &problem : reading.problems)
        m_console.err << toString(problem) << "\n";
    if (reading.error)
        return std::nullopt;
    if (!withVersion(file.text, reading.contract.version)) {
        m_console.err << path << ": version: write this field on a line of its own, unindented\n";
        return std::nullopt;
    }
    return ContractChange{reading.contract.organisation, reading.contract.version, file.text, {}};
}

void ContractCommands::printTable(const ContractsResult &result)
{
    TextTable table{{"ORGANISATION", "VERSION", "CHANGED BY"}};
    Json::Value json{Json::arrayValue};
    for (const StoredContract &contract : result.contracts) {
        table.addRow(
            {contract.organisation.value(), std::to_string(contract.version), contract.changedBy});
        Json::Value entry = toJson(contract);
        entry.removeMember("text");
        json.append(std::move(entry));
    }
    m_console.out << (m_console.isJson() ? indentedText(json) : table.text());
}

} // namespace bulrush::ctl
