#include "operatorpages.h"

#include "controlplane.h"
#include "process/counters.h"
#include "process/jsonreader.h"

#include <string_view>

namespace bulrush {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int unavailable = 503;

io::HttpResponse text(int status, std::string body)
{
    io::HttpResponse response;
    response.status = status;
    response.headers = {{"Content-Type", "text/plain; charset=utf-8"}};
    response.body = std::move(body);
    return response;
}

io::HttpResponse jsonText(std::string body)
{
    io::HttpResponse response;
    response.status = ok;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = std::move(body);
    return response;
}

io::HttpResponse json(const Json::Value &value)
{
    return jsonText(io::toCompactJson(value) + "\n");
}

constexpr std::string_view domainQuery = "/assignment?domain=";

} // namespace

OperatorPages::OperatorPages(const ControlPlane &control, const Counters &counters)
    : m_control(control)
    , m_counters(counters)
{ }

void OperatorPages::answer(const io::IncomingRequest &request, io::ResponseWriter &writer) const
{
    if (request.head().method != "GET") {
        writer.send(text(badRequest, "method: only GET is served here\n"));
        return;
    }
    writer.send(page(request.head().target));
}

io::HttpResponse OperatorPages::page(const std::string &target) const
{
    if (target == "/healthz")
        return text(ok, "ok\n");
    if (target == "/readyz") {
        return m_control.isReady()
            ? text(ok, "ready\n")
            : text(unavailable,
                   "not ready: waits for a contract and for its domain's assignment\n");
    }
    if (target == "/metrics")
        return text(ok, metrics());
    if (target == "/status")
        return json(m_control.status());
    if (target == "/burn")
        return jsonText(m_control.burnSnapshot());
    if (target.starts_with(domainQuery))
        return json(m_control.assignment(DomainName{target.substr(domainQuery.size())}));
    if (target.starts_with("/assignment"))
        return text(badRequest, "domain: missing; ask for /assignment?domain=NAME\n");
    return text(notFound,
                "no such page; there are /metrics, /healthz, /readyz, /status, /burn and "
                "/assignment?domain=NAME\n");
}

std::string OperatorPages::metrics() const
{
    std::string page;
    for (std::size_t i = 0; i < Counters::size; ++i) {
        const auto counter = static_cast<Counter>(i);
        const std::string name = "bulrush_" + std::string{counterName(counter)} + "_total";
        page += "# TYPE " + name + " counter\n";
        page += name + " " + std::to_string(m_counters.value(counter)) + "\n";
    }
    return page;
}

} // namespace bulrush
