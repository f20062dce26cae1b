#include "daemonaccess.h"

#include "blockinghttp.h"
#include "exitcode.h"
#include "process/jsonreader.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace bulrush::ctl {

namespace {

constexpr std::size_t maxThreads = 16;
constexpr int statusOk = 200;

} // namespace

DaemonAccess::DaemonAccess(std::vector<Endpoint> endpoints, Duration timeout)
    : m_endpoints(std::move(endpoints))
    , m_timeout(timeout)
{ }

std::vector<DaemonAnswer> DaemonAccess::queryAll(const std::string &path) const
{
    std::vector<DaemonAnswer> answers(m_endpoints.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < m_endpoints.size(); i = next++)
            answers[i] = query(m_endpoints[i], path);
    };

    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(maxThreads, m_endpoints.size()); ++i)
        threads.emplace_back(work);
    threads.clear();
    return answers;
}

FleetStatus DaemonAccess::status() const
{
    FleetStatus fleet;
    for (const DaemonAnswer &answer : queryAll("/status")) {
        auto status = answer.error ? std::nullopt : decodeDaemonStatus(answer.json);
        if (status)
            fleet.daemons.push_back(std::move(*status));
        else
            fleet.unresponsive.push_back(
                {answer.endpoint, answer.error ? answer.cause : "its answer is no status"});
    }
    return fleet;
}

DaemonAnswer DaemonAccess::query(const Endpoint &endpoint, const std::string &path) const
{
    const BlockingAnswer answer =
        fetch({"GET", "http://" + toString(endpoint) + path, {}, m_timeout});
    if (answer.error)
        return {endpoint, make_error_code(CtlError::Unreachable), answer.cause, {}, {}};
    if (answer.status != statusOk)
        return {endpoint,
                make_error_code(CtlError::Refused),
                "it answered " + std::to_string(answer.status),
                {},
                {}};

    Json::Value json = io::parseJson(answer.body);
    if (!json.isObject())
        return {
            endpoint, make_error_code(CtlError::BadAnswer), "its answer is no JSON object", {}, {}};
    return {endpoint, {}, {}, answer.body, std::move(json)};
}

} // namespace bulrush::ctl
