#include "rowsrelay.h"

#include "peerpaths.h"
#include "process/hostclock.h"

#include <utility>

namespace bulrush {

namespace {

constexpr int ok = 200;

} // namespace

RowsRelay::RowsRelay(io::ServerClient &client, PeersSource peers)
    : m_client(client)
    , m_peers(std::move(peers))
{ }

io::ServerCall RowsRelay::callTo(const Endpoint &daemon, std::string target)
{
    io::ServerCall call;
    call.server = daemon;
    call.target = std::move(target);
    call.headers = {{"Host", toString(daemon)}};
    return call;
}

void RowsRelay::follow(const Endpoint &reader, const std::string &table, std::uint64_t version,
                       FollowHandler handler)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto wait = duration_cast<milliseconds>(followWait).count();
    io::ServerCall call = callTo(reader,
                                 std::string{feedPath} + table + '/' + std::to_string(version) + '/'
                                     + std::to_string(wait));
    call.timeout = followWait + followSlack;
    const Instant sentAt = io::hostNow();
    m_client.send(std::move(call),
                  [sentAt, handler = std::move(handler)](const io::HttpResult &result) {
                      std::optional<RelayedRows> rows;
                      if (!result.error && result.response.status == ok)
                          rows = decodeRows(result.response.body);
                      const Instant asOf = rows ? sentAt - rows->age : sentAt;
                      handler(std::move(rows), asOf);
                  });
}

void RowsRelay::ask(const std::string &table, Handler handler)
{
    const std::vector<Endpoint> peers = m_peers();
    if (peers.empty())
        return;
    io::ServerCall call = callTo(peers[m_next++ % peers.size()], std::string{rowsPath} + table);
    call.timeout = timeout;
    const Instant sentAt = io::hostNow();
    m_client.send(std::move(call),
                  [sentAt, handler = std::move(handler)](const io::HttpResult &result) {
                      if (result.error || result.response.status != ok)
                          return; // the next one is asked before long
                      auto rows = decodeRows(result.response.body);
                      if (rows && rows->isWhole)
                          handler(std::move(*rows), sentAt - rows->age);
                  });
}

} // namespace bulrush
