#include "attempttrace.h"

#include "process/logging.h"

#include <utility>

namespace bulrush {

void AttemptTrace::begin(const ServerPicker &picker, const KnownServer *server, Instant sentAt)
{
    m_sentAt = sentAt;
    m_routingDataAge = picker.serverDataAge(sentAt);
    m_drainsAfter = server ? server->drainsAfter : std::nullopt;
    m_isLogged = m_drainsAfter || m_routingDataAge >= picker.drainBudget().confirmAfter();
}

void AttemptTrace::log(const std::string &request, const ServerName &server,
                       const io::CallTimes &times)
{
    if (!std::exchange(m_isLogged, false))
        return;
    const auto sinceChoice = [this](const std::optional<Instant> &step) {
        return step ? io::millisecondsText(*step - m_sentAt) : "never";
    };
    const std::string drains =
        m_drainsAfter ? io::millisecondsText(m_sentAt - *m_drainsAfter) : "unknown";
    io::logEvent(LogLevel::Info, "sent-to-leaving",
                 {{"request", request},
                  {"server", server.value()},
                  {"drains-ms-at-most", drains},
                  {"knowledge-ms", io::millisecondsText(m_routingDataAge)},
                  {"connected-ms", sinceChoice(times.connectedAt)},
                  {"written-ms", sinceChoice(times.writtenAt)}});
}

} // namespace bulrush
