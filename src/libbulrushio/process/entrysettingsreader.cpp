#include "process/entrysettingsreader.h"

#include "process/settingsfields.h"
#include "process/yamlfields.h"
#include "process/yamlfile.h"

#include <algorithm>

namespace bulrush::io {

namespace {

using namespace std::chrono_literals;

void readAddresses(YamlFields &fields, EntrySettings &settings)
{
    auto addresses = fields.mapping("addresses", Presence::Required);
    if (!addresses)
        return;
    const auto address = endpoint(PortZero::Allowed);
    addresses->read("callers", address, settings.callers, Presence::Required);
    addresses->read("peers", endpoint(PortZero::Refused), settings.peers, Presence::Required);
    addresses->read("relays", endpoint(PortZero::Refused), settings.relays, Presence::Optional);
    addresses->read("operators", address, settings.operators, Presence::Required);
    addresses->read("metrics", endpoint(PortZero::Refused), settings.metrics, Presence::Optional);
    addresses->read("outgoing", address, settings.outgoing, Presence::Optional);
    addresses->finish();
}

void readRetries(YamlFields &fields, RetryAllowance &retries)
{
    constexpr double maxRatio = 10.0;
    constexpr double maxSlack = 1'000'000.0;
    auto terms = fields.mapping("retries", Presence::Optional);
    if (!terms)
        return;
    terms->read("ratio", decimal(0.0, maxRatio), retries.ratio, Presence::Optional);
    terms->read("slack", decimal(0.0, maxSlack), retries.slack, Presence::Optional);
    terms->finish();
}

/** Reads a duration in decimal seconds, the format of the platform's bounds. */
void readDecimalSeconds(YamlFields &fields, std::string_view name, Duration &span,
                        double minSeconds = 0.5)
{
    constexpr double maxSeconds = 3600.0;
    std::chrono::duration<double> seconds = span;
    double value = seconds.count();
    fields.read(name, decimal(minSeconds, maxSeconds), value, Presence::Optional);
    span = std::chrono::duration_cast<Duration>(std::chrono::duration<double>{value});
}

/**
 * Reads the drain time. By default it is shorter than the grace period of the platform, so that a
 * shutdown finishes before the platform kills the process.
 */
void readShutdown(YamlFields &fields, EntrySettings &settings)
{
    constexpr Duration reserve = 500ms;
    Duration grace = settings.drainTime + reserve;
    readDecimalSeconds(fields, "shutdownGraceSeconds", grace);
    settings.drainTime = std::max(grace - reserve, grace / 2);
    fields.read("drainTime", duration(1s, 1h), settings.drainTime, Presence::Optional);
}

} // namespace

bool hasStore(std::string_view path)
{
    ConfigReport report;
    const YamlDocument document = readYamlFile(std::string{path}, report);
    return !document.error && document.root.IsMap() && document.root["store"].IsDefined();
}

EntrySettingsResult readEntrySettings(std::string_view path)
{
    const std::string file{path};
    ConfigReport report;
    const YamlDocument document = readYamlFile(file, report);
    if (document.error)
        return {document.error, {}, report.sorted()};

    YamlFields fields{report, {}, {file, 1}};
    EntrySettings settings;
    fields.merge(document.root, file);
    fields.read("host", identifier<HostName>(), settings.host, Presence::Required);
    fields.read("domain", identifier<DomainName>(), settings.domain, Presence::Required);
    fields.read("store", endpoint(PortZero::Refused), settings.store, Presence::Required);
    readAddresses(fields, settings);
    readShutdown(fields, settings);
    readDecimalSeconds(fields, "serverDrainSeconds", settings.serverDrain);
    constexpr double minHeartbeatSeconds = 0.01;
    readDecimalSeconds(fields, "serverHeartbeatSeconds", settings.serverRecords.heartbeat,
                       minHeartbeatSeconds);
    readDecimalSeconds(fields, "configInForceSeconds", settings.configInForce);
    readDecimalSeconds(fields, "evacuationSeconds", settings.evacuation);
    readCallerLimits(fields, settings.limits);
    readRetries(fields, settings.retries);
    constexpr double maxProcessors = 1024.0;
    fields.read("processors", decimal(0.0, maxProcessors), settings.processors, Presence::Optional);
    constexpr double bytesPerMegabyte = 1e6;
    constexpr double minMegabytes = 64.0;
    constexpr double maxMegabytes = 1'000'000.0;
    double megabytes = static_cast<double>(settings.memoryBytes) / bytesPerMegabyte;
    fields.read("memoryMegabytes", decimal(minMegabytes, maxMegabytes), megabytes,
                Presence::Optional);
    settings.memoryBytes = static_cast<std::uint64_t>(megabytes * bytesPerMegabyte);
    constexpr double minMegabits = 0.1;
    constexpr double maxMegabits = 1'000'000.0;
    fields.read("linkMegabitsPerSecond", decimal(minMegabits, maxMegabits), settings.linkMegabits,
                Presence::Optional);
    readLogLevel(fields, settings.logLevel);
    fields.finish();
    if (!report.isEmpty())
        return {make_error_code(ConfigError::Invalid), {}, report.sorted()};
    return {{}, std::move(settings), {}};
}

} // namespace bulrush::io
