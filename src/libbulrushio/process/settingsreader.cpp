#include "process/settingsreader.h"

#include "process/settingsfields.h"
#include "process/yamlfields.h"
#include "process/yamlfile.h"

#include <filesystem>

namespace bulrush::io {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxServers = 20'000;
constexpr std::size_t maxSeeds = 2'000;
constexpr std::uint64_t maxSlots = 10'000;
constexpr std::uint64_t maxConnections = 100'000;

std::string resolveIncludedPath(const std::string &file, const std::string &included)
{
    return (std::filesystem::path{file}.parent_path() / included).lexically_normal().string();
}

/**
 * Parses the settings of one daemon and the files that they include, field by field.
 */
class SettingsParser
{
public:
    explicit SettingsParser(std::string path)
        : m_path(std::move(path))
        , m_fields(m_report, {}, {m_path, 1})
    { }

    SettingsResult parse();

private:
    std::error_code mergeFiles();
    std::error_code mergeIncluded(const std::string &path);
    void readIdentity();
    void readAddresses();
    void readSeeds();
    void readServers();
    void readServer(YamlFields &fields);
    void readLeases();
    void readProcess();

    std::string m_path;
    ConfigReport m_report;
    YamlFields m_fields;
    DaemonSettings m_settings;
};

SettingsResult SettingsParser::parse()
{
    const std::error_code failure = mergeFiles();
    if (failure)
        return {failure, {}, m_report.sorted()};

    readIdentity();
    readAddresses();
    readSeeds();
    readServers();
    readLeases();
    readCallerLimits(m_fields, m_settings.limits);
    readProcess();
    m_fields.finish();
    if (m_report.isEmpty())
        m_report.addFieldProblems(problemsOf(m_settings));
    if (!m_report.isEmpty())
        return {make_error_code(ConfigError::Invalid), {}, m_report.sorted()};
    return {{}, std::move(m_settings), {}};
}

std::error_code SettingsParser::mergeFiles()
{
    const YamlDocument document = readYamlFile(m_path, m_report);
    if (document.error)
        return document.error;
    if (!m_fields.merge(document.root, m_path))
        return make_error_code(ConfigError::Invalid);

    std::vector<std::string> included;
    const ScalarType<std::string> path{[](std::string_view text) {
                                           return text.empty() ? std::nullopt
                                                               : std::optional{std::string{text}};
                                       },
                                       "paths of files, relative to this one"};
    m_fields.readList("include", path, included, Presence::Optional);
    for (const std::string &file : included) {
        if (const auto failure = mergeIncluded(resolveIncludedPath(m_path, file)))
            return failure;
    }
    return {};
}

std::error_code SettingsParser::mergeIncluded(const std::string &path)
{
    const YamlDocument document = readYamlFile(path, m_report);
    if (document.error)
        return document.error;
    if (document.root.IsMap() && document.root["include"].IsDefined()) {
        m_report.add({path, document.root["include"].Mark().line + 1}, "include",
                     "is not allowed in a file that is itself included");
        return make_error_code(ConfigError::Invalid);
    }
    m_fields.merge(document.root, path);
    return {};
}

void SettingsParser::readIdentity()
{
    m_fields.read("host", identifier<HostName>(), m_settings.host, Presence::Required);
    m_fields.read("domain", identifier<DomainName>(), m_settings.domain, Presence::Required);
    m_fields.readList("domains", identifier<DomainName>(), m_settings.domains, Presence::Required);
    m_fields.readList("platform", endpoint(PortZero::Refused), m_settings.platform,
                      Presence::Required);
}

void SettingsParser::readAddresses()
{
    auto fields = m_fields.mapping("addresses", Presence::Required);
    if (!fields)
        return;

    const auto address = endpoint(PortZero::Allowed);
    fields->read("callers", address, m_settings.addresses.callers, Presence::Required);
    fields->read("peers", address, m_settings.addresses.peers, Presence::Required);
    fields->read("operators", address, m_settings.addresses.operators, Presence::Required);
    fields->finish();
}

void SettingsParser::readSeeds()
{
    for (YamlFields &fields : m_fields.mappings("seeds", maxSeeds, Presence::Optional)) {
        PeerSeed &seed = m_settings.seeds.emplace_back();
        fields.read("host", identifier<HostName>(), seed.host, Presence::Required);
        fields.read("domain", identifier<DomainName>(), seed.domain, Presence::Required);
        fields.read("address", endpoint(PortZero::Refused), seed.address, Presence::Required);
        fields.finish();
    }
}

void SettingsParser::readServers()
{
    for (YamlFields &fields : m_fields.mappings("servers", maxServers, Presence::Required))
        readServer(fields);
}

void SettingsParser::readServer(YamlFields &fields)
{
    BackendServer &server = m_settings.servers.emplace_back();
    fields.read("name", identifier<ServerName>(), server.name, Presence::Required);
    fields.read("domain", identifier<DomainName>(), server.domain, Presence::Required);
    fields.read("service", identifier<ServiceName>(), server.service, Presence::Required);
    fields.read("address", endpoint(PortZero::Refused), server.address, Presence::Required);
    fields.read("slots", wholeNumber(1, maxSlots), server.slots, Presence::Required);
    fields.read("connectionLimit", wholeNumber(1, maxConnections), server.connectionLimit,
                Presence::Required);
    fields.read("checksFence", boolean(), server.checksFence, Presence::Optional);
    fields.finish();
}

void SettingsParser::readLeases()
{
    auto fields = m_fields.mapping("leases", Presence::Optional);
    if (!fields)
        return;

    LeaseTimings &leases = m_settings.leases;
    const auto lease = duration(10ms, 1min);
    fields->read("stewardLease", lease, leases.stewardLease, Presence::Optional);
    fields->read("routingLease", lease, leases.routingLease, Presence::Optional);
    fields->read("promise", duration(10ms, 1h), leases.promise, Presence::Optional);
    fields->read("deadlineCap", lease, leases.deadlineCap, Presence::Optional);
    fields->read("renewEvery", lease, leases.renewEvery, Presence::Optional);
    fields->read("driftPpm", wholeNumber(1, 100'000), leases.driftPpm, Presence::Optional);
    fields->finish();
}

void SettingsParser::readProcess()
{
    m_fields.read("drainTime", duration(1s, 1h), m_settings.drainTime, Presence::Optional);
    m_fields.read("trafficThreads", wholeNumber(1, 64), m_settings.trafficThreads,
                  Presence::Optional);
    readLogLevel(m_fields, m_settings.logLevel);
}

} // namespace

SettingsResult readSettings(std::string_view path)
{
    return SettingsParser{std::string{path}}.parse();
}

} // namespace bulrush::io
