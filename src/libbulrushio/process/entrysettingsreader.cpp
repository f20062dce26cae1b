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
    addresses->read("operators", address, settings.operators, Presence::Required);
    addresses->read("metrics", endpoint(PortZero::Refused), settings.metrics, Presence::Optional);
    addresses->finish();
}

void readRetries(YamlFields &fields, RetryTerms &retries)
{
    constexpr double mostRatio = 10.0;
    constexpr double mostSlack = 1'000'000.0;
    auto terms = fields.mapping("retries", Presence::Optional);
    if (!terms)
        return;
    terms->read("ratio", decimal(0.0, mostRatio), retries.ratio, Presence::Optional);
    terms->read("slack", decimal(0.0, mostSlack), retries.slack, Presence::Optional);
    terms->finish();
}

/** Reads a span in seconds with fractions, as the platform writes its bounds. */
void readSeconds(YamlFields &fields, std::string_view name, Duration &span)
{
    constexpr double least = 0.5;
    constexpr double most = 3600.0;
    std::chrono::duration<double> seconds = span;
    double value = seconds.count();
    fields.read(name, decimal(least, most), value, Presence::Optional);
    span = std::chrono::duration_cast<Duration>(std::chrono::duration<double>{value});
}

/** Ends a shutdown by itself before the platform kills the process. */
void readShutdown(YamlFields &fields, EntrySettings &settings)
{
    constexpr Duration reserve = 500ms;
    Duration grace = settings.drainTime + reserve;
    readSeconds(fields, "shutdownGraceSeconds", grace);
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

EntrySettingsReading readEntrySettings(std::string_view path)
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
    readSeconds(fields, "serverDrainSeconds", settings.serverDrain);
    readSeconds(fields, "configInForceSeconds", settings.configInForce);
    readCallerLimits(fields, settings.limits);
    readRetries(fields, settings.retries);
    constexpr double mostProcessors = 1024.0;
    fields.read("processors", decimal(0.0, mostProcessors), settings.processors,
                Presence::Optional);
    constexpr double leastMegabits = 0.1;
    constexpr double mostMegabits = 1'000'000.0;
    fields.read("linkMegabitsPerSecond", decimal(leastMegabits, mostMegabits),
                settings.linkMegabits, Presence::Optional);
    readLogLevel(fields, settings.logLevel);
    fields.finish();
    if (!report.isClean())
        return {make_error_code(ConfigError::Invalid), {}, report.sorted()};
    return {{}, std::move(settings), {}};
}

} // namespace bulrush::io
