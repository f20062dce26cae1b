#include "entryfleet/payingcallers.h"

#include <chrono>
#include <cstdint>

namespace bulrush::test {

namespace {

constexpr std::size_t callersPerHost = 4;
constexpr std::chrono::milliseconds sendInterval{100};
constexpr int deadlineMs = 1500;
constexpr int keyCount = 65'536;
/** Spreads successive requests evenly over all keys. */
constexpr std::int64_t keyStep = 40'503;
/** One in this many requests crashes servers while there are such requests. */
constexpr int poisonedShare = 7;

} // namespace

PayingCallers::PayingCallers(EntryFleet &fleet, const std::vector<std::string> &hosts)
    : m_fleet(fleet)
{
    // Addresses are read now, as daemons may be restarted by the test's thread later.
    std::vector<std::string> addresses;
    for (const std::string &host : hosts)
        addresses.insert(addresses.end(), callersPerHost, fleet.callersAddress(host));
    for (std::size_t i = 0; i < addresses.size(); ++i)
        m_threads.emplace_back([this, address = addresses[i], i] { call(address, i); });
}

PayingCallers::~PayingCallers()
{
    stop();
}

void PayingCallers::poison()
{
    ++m_poison;
}

PayingCallers::Outcomes PayingCallers::stop()
{
    m_isStopped = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_outcomes;
}

void PayingCallers::call(const std::string &address, std::size_t caller)
{
    SyncHttpClient http;
    for (int i = 0; !m_isStopped; ++i) {
        const SyncHttpRequest request = makeRequest(address, caller, i);
        const SyncHttpResult result = http.send(request);
        m_fleet.recordAnswer(request, result);
        count(result.status);
        std::this_thread::sleep_for(sendInterval);
    }
}

SyncHttpRequest PayingCallers::makeRequest(const std::string &address, std::size_t caller,
                                           int number) const
{
    const int poison = m_poison;
    const bool isPoisoned = poison > 0 && number % poisonedShare == 0;
    const bool isOrder = (static_cast<std::size_t>(number) + caller) % 2 == 0;
    const std::string own = std::to_string(caller) + '-' + std::to_string(number);
    // Only requests with the same path are blocked together.
    const std::string name = isPoisoned ? "bad" + std::to_string(poison) : "x" + own;
    SyncHttpRequest request;
    request.method = "POST";
    request.url = address + (isOrder ? "/order/" : "/pay/") + name;
    request.body = "euro=120";
    request.headers = {
        {"Host", "shop.example"},
        {"X-Bulrushswitch-Request-Id", "payer" + own},
        {"X-Bulrushswitch-Deadline-Ms", std::to_string(deadlineMs)},
    };
    if (isOrder) {
        // Requests that crash servers stay with one key, and so with one owner after another.
        const std::int64_t key = isPoisoned ? 0 : (number * keyStep) % keyCount;
        request.headers.push_back({"X-Bulrushswitch-Shard-Key", std::to_string(key)});
    }
    return request;
}

void PayingCallers::count(int status)
{
    const std::scoped_lock lock{m_mutex};
    ++m_outcomes.sent;
    m_outcomes.served += status == 200 ? 1 : 0;
    m_outcomes.refused += PromiseLedger::isPromise(status) ? 1 : 0;
}

} // namespace bulrush::test
