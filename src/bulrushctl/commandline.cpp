#include "commandline.h"

#include "console.h"
#include "contractcommands.h"
#include "daemonaccess.h"
#include "evacuationcommands.h"
#include "operatorcommands.h"
#include "platformaccess.h"
#include "process/scalartype.h"
#include "randomid.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <optional>
#include <thread>

namespace bulrush::ctl {

namespace {

using namespace std::chrono_literals;

constexpr int maxWriteAttempts = 5;
constexpr Duration retryDelay = 300ms;

constexpr const char *footer =
    "Exit codes:\n"
    "  0  done\n"
    "  1  refused: nothing was changed, and the message says why\n"
    "  2  the command line can't be understood\n"
    "  3  the platform or daemons did not answer, or did not all do so in time\n"
    "  4  a write was sent, and whether it took effect can't be told\n"
    "  5  someone else's change went first; nothing was merged\n"
    "\n"
    "--platform and --daemon can also be set in BULRUSHCTL_PLATFORM and BULRUSHCTL_DAEMON,\n"
    "with commas between several.";

/** Values of the options and arguments of all commands, initialised with their defaults. */
struct Arguments
{
    std::vector<std::string> platform;
    std::vector<std::string> daemons;
    std::string output = "table";
    std::string timeout = "2s";
    std::string changedBy;
    std::string file;
    std::string name;
    std::string domain;
    std::string waitTimeout = "30s";
    std::string format = "table";
    std::uint64_t version = 0;
    bool isConfirmed = false;
    bool isWaiting = false;
    bool isUnlisted = false;
    bool isConfirmedGone = false;
};

template<typename T>
T parseOrThrow(const io::ScalarType<T> &type, const std::string &text)
{
    auto value = type.parse(text);
    if (!value)
        throw CLI::ValidationError{"\"" + text + "\" is not allowed; allowed: " + type.allowed};
    return *value;
}

/** \returns a CLI11 validator that rejects texts which \a type does not allow. */
template<typename T>
std::function<std::string(const std::string &)> validatorFor(const io::ScalarType<T> &type)
{
    return [type](const std::string &text) {
        return type.parse(text) ? std::string{}
                                : "\"" + text + "\" is not allowed; allowed: " + type.allowed;
    };
}

io::ScalarType<Duration> timeoutType()
{
    return io::duration(10ms, 1h);
}

io::ScalarType<BurnFormat> burnFormatType()
{
    return io::choice<BurnFormat>({{"table", BurnFormat::Table},
                                   {"json", BurnFormat::Json},
                                   {"csv", BurnFormat::Csv},
                                   {"html", BurnFormat::Html}});
}

std::vector<Endpoint> parseEndpoints(const std::vector<std::string> &texts)
{
    std::vector<Endpoint> result;
    result.reserve(texts.size());
    for (const std::string &text : texts)
        result.push_back(parseOrThrow(io::endpoint(io::PortZero::Refused), text));
    return result;
}

void sleepBeforeRetry()
{
    std::this_thread::sleep_for(retryDelay);
}

/**
 * The objects that a command uses, created after the command line is parsed.
 */
class Session
{
public:
    Session(const Arguments &arguments, Console &console);

    ContractCommands contracts();
    OperatorCommands operators();
    EvacuationCommands evacuations();
    ChangeOptions changeOptions() const;
    LeaveOptions leaveOptions() const;
    BurnFormat burnFormat() const;

private:
    /** \returns the time limit of --wait, or nothing if the command does not wait. */
    std::optional<Duration> waitTimeout() const;

    const Arguments &m_arguments;
    Console &m_console;
    std::string m_writer = "bulrushctl-" + randomId();
    std::string m_requestId = randomId();
    PlatformAccess m_platform;
    DaemonAccess m_daemons;
    ContractStore m_store;
};

Session::Session(const Arguments &arguments, Console &console)
    : m_arguments(arguments)
    , m_console(console)
    , m_platform(parseEndpoints(arguments.platform), parseOrThrow(timeoutType(), arguments.timeout))
    , m_daemons(parseEndpoints(arguments.daemons), parseOrThrow(timeoutType(), arguments.timeout))
    , m_store(m_platform, m_writer, {maxWriteAttempts, sleepBeforeRetry})
{ }

ContractCommands Session::contracts()
{
    return {m_store, m_daemons, m_console};
}

OperatorCommands Session::operators()
{
    return {m_platform,
            m_daemons,
            m_console,
            {m_arguments.changedBy, m_requestId, m_writer, {maxWriteAttempts, sleepBeforeRetry}}};
}

EvacuationCommands Session::evacuations()
{
    return {m_daemons, m_console};
}

ChangeOptions Session::changeOptions() const
{
    return {{m_arguments.changedBy, m_requestId}, m_arguments.isConfirmed, waitTimeout()};
}

LeaveOptions Session::leaveOptions() const
{
    return {m_arguments.isUnlisted, waitTimeout()};
}

std::optional<Duration> Session::waitTimeout() const
{
    if (!m_arguments.isWaiting)
        return std::nullopt;
    return parseOrThrow(timeoutType(), m_arguments.waitTimeout);
}

BurnFormat Session::burnFormat() const
{
    return parseOrThrow(burnFormatType(), m_arguments.format);
}

using Command = std::function<ExitCode(Session &)>;

/**
 * Defines the commands and options of bulrushctl, and stores the selected command for execution.
 */
class CommandLineParser
{
public:
    explicit CommandLineParser(Arguments &arguments);

    CLI::App &app();
    const Command &command() const;

private:
    void addGlobalOptions();
    void addContractCommands();
    void addHostCommands();
    void addEvacuationCommands();
    void addOtherCommands();
    void addChangeOptions(CLI::App *command);
    void addWaitOptions(CLI::App *command, const char *description);
    void addName(CLI::App *command, const char *option, const char *description);
    CLI::App *addCommand(CLI::App *parent, const char *name, const char *description,
                         Command command);
    CLI::App *addGroup(const char *name, const char *description);

    Arguments &m_arguments;
    CLI::App m_app{"Operates bulrushswitch: contracts, hosts, assignments, reports.", "bulrushctl"};
    Command m_command;
};

CommandLineParser::CommandLineParser(Arguments &arguments)
    : m_arguments(arguments)
{
    m_app.footer(footer);
    m_app.set_version_flag("--version", BULRUSH_VERSION);
    m_app.require_subcommand(1);
    m_app.fallthrough();
    addGlobalOptions();
    addContractCommands();
    addHostCommands();
    addEvacuationCommands();
    addOtherCommands();
}

CLI::App &CommandLineParser::app()
{
    return m_app;
}

const Command &CommandLineParser::command() const
{
    return m_command;
}

void CommandLineParser::addGlobalOptions()
{
    const auto address = validatorFor(io::endpoint(io::PortZero::Refused));
    const char *user = std::getenv("USER");
    m_arguments.changedBy = user ? user : "unknown";
    m_app.add_option("--platform", m_arguments.platform, "An endpoint of the platform; repeatable")
        ->type_name("IP:PORT")
        ->allow_extra_args(false)
        ->delimiter(',')
        ->envname("BULRUSHCTL_PLATFORM")
        ->check(address);
    m_app.add_option("--daemon", m_arguments.daemons, "A daemon's port for operators; repeatable")
        ->type_name("IP:PORT")
        ->allow_extra_args(false)
        ->delimiter(',')
        ->envname("BULRUSHCTL_DAEMON")
        ->check(address);
    m_app.add_option("--output", m_arguments.output, "What answers are printed as (default table)")
        ->check(CLI::IsMember({"table", "json"}));
    m_app.add_option("--timeout", m_arguments.timeout, "Time for each call (default 2s)")
        ->type_name("DURATION")
        ->check(validatorFor(timeoutType()));
    m_app.add_option("--as", m_arguments.changedBy, "Who makes the change (default $USER)")
        ->type_name("NAME")
        ->check([](const std::string &text) {
            return text.empty() ? std::string{"a name is needed"} : std::string{};
        });
}

void CommandLineParser::addContractCommands()
{
    CLI::App *group = addGroup("contract", "Contracts of customer organisations");

    CLI::App *get =
        addCommand(group, "get", "Print a contract's text, to be edited", [this](Session &session) {
            const std::uint64_t version = m_arguments.version;
            return session.contracts().get(OrganisationName{m_arguments.name},
                                           version ? std::optional{version} : std::nullopt);
        });
    addName(get, "ORGANISATION", "The customer organisation");
    get->add_option("--contract-version", m_arguments.version, "An old version, from the history")
        ->type_name("N")
        ->check(CLI::PositiveNumber);

    CLI::App *put =
        addCommand(group, "put", "Validate a contract, show what changes, ask, and put it",
                   [this](Session &session) {
                       return session.contracts().put(m_arguments.file, session.changeOptions());
                   });
    put->add_option("FILE", m_arguments.file, "The contract in YAML")->required();
    addChangeOptions(put);

    CLI::App *diff =
        addCommand(group, "diff", "Validate a contract and show what it would change",
                   [this](Session &session) { return session.contracts().diff(m_arguments.file); });
    diff->add_option("FILE", m_arguments.file, "The contract in YAML")->required();

    addCommand(group, "list", "List the contracts of all organisations",
               [](Session &session) { return session.contracts().list(); });

    CLI::App *history =
        addCommand(group, "history", "List all versions of a contract", [this](Session &session) {
            return session.contracts().history(OrganisationName{m_arguments.name});
        });
    addName(history, "ORGANISATION", "The customer organisation");

    CLI::App *rollback = addCommand(
        group, "rollback", "Put the text of an old version as a new version",
        [this](Session &session) {
            return session.contracts().rollback(OrganisationName{m_arguments.name},
                                                m_arguments.version, session.changeOptions());
        });
    addName(rollback, "ORGANISATION", "The customer organisation");
    rollback->add_option("VERSION", m_arguments.version, "The version to go back to")
        ->required()
        ->check(CLI::PositiveNumber);
    addChangeOptions(rollback);
}

void CommandLineParser::addHostCommands()
{
    CLI::App *group = addGroup("host", "Entry hosts");
    addCommand(group, "list", "List the platform's hosts and the planned departures",
               [](Session &session) { return session.operators().listHosts(); });

    CLI::App *leave =
        addCommand(group, "leave", "Plan the departure of an entry host", [this](Session &session) {
            return session.operators().leave(HostName{m_arguments.name}, session.leaveOptions());
        });
    addName(leave, "HOST", "The host that is to leave");
    leave->add_flag("--unlisted", m_arguments.isUnlisted,
                    "Also if the platform's list does not have the host");
    addWaitOptions(leave, "Show how far it is, and wait until the host is gone");
}

void CommandLineParser::addEvacuationCommands()
{
    CLI::App *group = addGroup("evacuation", "Evacuations of failure domains");
    addCommand(group, "show", "Print the evacuated domains and what is left there",
               [](Session &session) { return session.evacuations().show(); });
    CLI::App *check =
        addCommand(group, "check", "Print what an evacuation would mean for each service",
                   [this](Session &session) {
                       return session.evacuations().check(DomainName{m_arguments.name});
                   });
    addName(check, "DOMAIN", "The failure domain that is to be evacuated");
}

void CommandLineParser::addOtherCommands()
{
    CLI::App *assignment = addGroup("assignment", "Who owns which keys");
    CLI::App *show =
        addCommand(assignment, "show", "Print the slices of a failure domain and their owners",
                   [this](Session &session) {
                       return session.operators().showAssignment(DomainName{m_arguments.name});
                   });
    addName(show, "DOMAIN", "The failure domain");

    addCommand(&m_app, "status", "Print the system at a glance, and what needs an operator's hand",
               [](Session &session) { return session.operators().status(); });

    CLI::App *steward = addGroup("steward", "Stewardship of failure domains");
    CLI::App *release = addCommand(
        steward, "release", "Release the stewardship of a domain whose steward is gone for good",
        [this](Session &session) {
            return session.operators().releaseLeadership(DomainName{m_arguments.name},
                                                         m_arguments.isConfirmedGone);
        });
    addName(release, "DOMAIN", "The failure domain");
    release->add_flag(
        "--confirm-gone", m_arguments.isConfirmedGone,
        "You have made sure that its holder is gone; if not, keys can have two owners");

    CLI::App *report = addGroup("report", "Reports");
    CLI::App *burn = addCommand(
        report, "burn", "Print how fast operations use up their service-level budget",
        [](Session &session) { return session.operators().reportBurn(session.burnFormat()); });
    burn->add_option("--format", m_arguments.format, "The form of the report (default table)")
        ->check(CLI::IsMember({"table", "json", "csv", "html"}));
}

void CommandLineParser::addChangeOptions(CLI::App *command)
{
    command->add_flag("--yes", m_arguments.isConfirmed, "Don't ask");
    addWaitOptions(command, "Wait until it is in force everywhere, as the daemons say");
}

void CommandLineParser::addWaitOptions(CLI::App *command, const char *description)
{
    command->add_flag("--wait", m_arguments.isWaiting, description);
    command
        ->add_option("--wait-for", m_arguments.waitTimeout,
                     "How long to wait at most (default 30s)")
        ->type_name("DURATION")
        ->check(validatorFor(timeoutType()));
}

void CommandLineParser::addName(CLI::App *command, const char *option, const char *description)
{
    command->add_option(option, m_arguments.name, description)
        ->required()
        ->type_name("NAME")
        ->check([](const std::string &text) {
            return io::isValidName(text) ? std::string{}
                                         : "allowed: " + std::string{io::validNameDescription};
        });
}

CLI::App *CommandLineParser::addCommand(CLI::App *parent, const char *name, const char *description,
                                        Command command)
{
    CLI::App *added = parent->add_subcommand(name, description);
    added->callback([this, command = std::move(command)] { m_command = command; });
    return added;
}

CLI::App *CommandLineParser::addGroup(const char *name, const char *description)
{
    CLI::App *group = m_app.add_subcommand(name, description);
    group->require_subcommand(1);
    return group;
}

} // namespace

ExitCode run(std::span<const std::string> arguments, std::istream &in, std::ostream &out,
             std::ostream &err)
{
    Arguments parsedArguments;
    CommandLineParser parser{parsedArguments};
    // CLI11 expects the arguments in reverse order.
    std::vector<std::string> reversed{arguments.rbegin(), arguments.rend()};
    try {
        parser.app().parse(reversed);
    } catch (const CLI::ParseError &error) {
        const bool isHelp = parser.app().exit(error, out, err) == 0;
        return isHelp ? ExitCode::Done : ExitCode::Usage;
    }

    Console console{in, out, err,
                    parsedArguments.output == "json" ? OutputFormat::Json : OutputFormat::Table};
    Session session{parsedArguments, console};
    return parser.command()(session);
}

} // namespace bulrush::ctl
