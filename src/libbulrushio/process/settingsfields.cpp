#include "process/settingsfields.h"

namespace bulrush::io {

using namespace std::chrono_literals;

void readCallerLimits(YamlFields &settings, CallerLimits &limits)
{
    auto fields = settings.mapping("limits", Presence::Optional);
    if (!fields)
        return;
    fields->read("maxBody", byteCount(1024, std::uint64_t{16} << 30), limits.maxBodyBytes,
                 Presence::Optional);
    fields->read("maxHeader", byteCount(1024, std::uint64_t{1} << 20), limits.maxHeaderBytes,
                 Presence::Optional);
    fields->read("headerTime", duration(100ms, 5min), limits.headerTime, Presence::Optional);
    fields->finish();
}

void readLogLevel(YamlFields &settings, LogLevel &level)
{
    const auto levels = choice<LogLevel>({{"debug", LogLevel::Debug},
                                          {"info", LogLevel::Info},
                                          {"warning", LogLevel::Warning},
                                          {"error", LogLevel::Error}});
    settings.read("logLevel", levels, level, Presence::Optional);
}

} // namespace bulrush::io
