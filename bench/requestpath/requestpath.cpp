#include "echoserver.h"
#include "loadcallers.h"
#include "loopthread.h"

#include "connection/callerserver.h"
#include "connection/proxyexchange.h"

#include <restinio/all.hpp>

#include <array>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <unordered_map>

using namespace bulrush::io;

namespace {

constexpr std::array<std::size_t, 3> callerCounts{1, 10, 100};
constexpr std::size_t requestsOfOneCaller = 5'000;
constexpr std::size_t requestsOfMany = 40'000;

/** Runs \a action on the loop's thread and waits for it. */
template<typename Action>
void runOn(asio::io_context &loop, Action action)
{
    std::promise<void> done;
    asio::post(loop, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

struct BareTraits : public restinio::default_single_thread_traits_t
{ };

/** A RESTinio server that answers immediately, without any code of the daemon. */
class BareServer
{
public:
    explicit BareServer(asio::io_context &loop)
        : m_server(restinio::external_io_context(loop), [this](auto &settings) {
            settings.address("127.0.0.1").port(0);
            settings.acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
                m_port = acceptor.local_endpoint().port();
            });
            settings.request_handler([](const restinio::request_handle_t &request) {
                return request->create_response().set_body("echo").done();
            });
        })
    {
        m_server.open_sync();
    }

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    std::uint16_t m_port = 0;
    restinio::http_server_t<BareTraits> m_server;
};

/** Forwards requests as a daemon does, but without its decisions. */
class ProxyServer
{
public:
    ProxyServer(asio::io_context &loop, std::uint16_t backendPort, bool isFreshConnection)
        : m_client(loop)
        , m_origin("http://127.0.0.1:" + std::to_string(backendPort))
        , m_isFreshConnection(isFreshConnection)
        , m_server(loop, {},
                   [this](auto request, const auto &writer) { pass(std::move(request), writer); })
    {
        if (m_server.listen())
            std::abort();
    }

    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    void pass(std::shared_ptr<IncomingRequest> request,
              const std::shared_ptr<ResponseWriter> &writer)
    {
        const std::uint64_t id = ++m_lastId;
        ProxyTarget target;
        target.origin = m_origin;
        target.requestId = std::to_string(id);
        target.isFreshConnection = m_isFreshConnection;
        auto exchange = std::make_shared<ProxyExchange>(
            m_client, std::move(request), writer, std::move(target),
            [this, id, writer](const ExchangeResult &) { m_exchanges.erase(id); });
        m_exchanges.emplace(id, exchange);
        exchange->start();
    }

    HttpClient m_client;
    std::string m_origin;
    bool m_isFreshConnection;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<ProxyExchange>> m_exchanges;
    CallerServer m_server;
};

struct Figures
{
    double perSecond = 0;
    double perCoreSecond = 0;
    double median = 0;
    double tail = 0;
    std::size_t failures = 0;
};

double microseconds(std::chrono::nanoseconds span)
{
    return static_cast<double>(span.count()) / 1e3;
}

Figures measure(LoopThread &thread, std::uint16_t port, std::size_t callers)
{
    const std::size_t requests = callers == 1 ? requestsOfOneCaller : requestsOfMany;
    LoadCallers::run(port, callers, requests / 10);
    const auto usedBefore = thread.processorTime();
    LoadResult result = LoadCallers::run(port, callers, requests);
    const auto used = thread.processorTime() - usedBefore;
    const auto done = static_cast<double>(result.latencies.size());
    return {done * 1e9 / static_cast<double>(result.elapsed.count()),
            done * 1e9 / static_cast<double>(used.count()), microseconds(result.quantile(0.5)),
            microseconds(result.quantile(0.99)), result.failures};
}

void print(const char *path, std::size_t callers, const Figures &figures, const Figures &direct)
{
    std::printf("| %-22s | %3zu | %9.0f | %9.0f | %8.0f | %8.0f | %8.0f | %8.0f | %5.2f | %zu |\n",
                path, callers, figures.perSecond, figures.perCoreSecond, figures.median,
                figures.tail, figures.median - direct.median, figures.tail - direct.tail,
                figures.perCoreSecond / direct.perCoreSecond, figures.failures);
}

} // namespace

int main()
{
    LoopThread backendThread;
    LoopThread bareThread;
    LoopThread proxyThread;
    std::unique_ptr<EchoServer> backend;
    std::unique_ptr<BareServer> bare;
    std::unique_ptr<ProxyServer> kept;
    std::unique_ptr<ProxyServer> fresh;
    runOn(backendThread.loop(),
          [&] { backend = std::make_unique<EchoServer>(backendThread.loop()); });
    runOn(bareThread.loop(), [&] { bare = std::make_unique<BareServer>(bareThread.loop()); });
    runOn(proxyThread.loop(), [&] {
        kept = std::make_unique<ProxyServer>(proxyThread.loop(), backend->port(), false);
        fresh = std::make_unique<ProxyServer>(proxyThread.loop(), backend->port(), true);
    });

    std::puts("| path | callers | requests/s | requests per core second of the path's thread "
              "| median us | 99th us | median added | 99th added | ratio per core | failed |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const std::size_t callers : callerCounts) {
        const Figures direct = measure(backendThread, backend->port(), callers);
        print("stand-in, direct", callers, direct, direct);
        print("RESTinio alone", callers, measure(bareThread, bare->port(), callers), direct);
        print("proxied, kept", callers, measure(proxyThread, kept->port(), callers), direct);
        print("proxied, fresh", callers, measure(proxyThread, fresh->port(), callers), direct);
    }
    runOn(proxyThread.loop(), [&] {
        kept.reset();
        fresh.reset();
    });
    runOn(bareThread.loop(), [&] { bare.reset(); });
    proxyThread.stop();
    bareThread.stop();
    backendThread.stop();
    backend.reset();
}
