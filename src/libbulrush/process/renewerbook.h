#pragma once

#include "process/clock.h"
#include "process/endpoint.h"
#include "process/keytimings.h"
#include "version/identifier.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bulrush {

/** The row of a daemon that may renew grants. */
struct DaemonRow
{
    Incarnation incarnation;
    /** Where it takes messages of other daemons. */
    Endpoint address;
    DomainName domain = {};
    /** What its host has of processors, in cores. */
    double processors = 1.0;

    bool operator==(const DaemonRow &) const = default;
};

/** A daemon that may renew grants, by its row. */
struct Renewer
{
    HostName host;
    DaemonRow row;
    std::uint64_t version = 0;
    /** Since when it has no row; it may not have heard of that yet. */
    std::optional<Instant> goneSince;
    /** Since when it has not answered, if it was asked. */
    std::optional<Instant> silentSince;
};

/** A daemon's word on the grants that it may have sent to some servers. */
struct RenewerAnswer
{
    HostName host;
    Incarnation incarnation;
    ServiceName service;
    /** Of the assignment that it goes by from now on. */
    std::uint64_t sequence = 0;
    /**
     * How long ago the last grant to each server came there at the latest; negative while one may
     * still come. At most since this daemon's start, as earlier runs on its host may have sent one
     * until then.
     */
    std::map<ServerName, Duration> lastGrantAgo;
};

/**
 * Who may renew grants, and what they said: from which the planner knows how long a server that
 * does not answer can hold keys. A daemon that knows a later assignment grants the ranges that were
 * taken no more; one that says nothing stops after a while by itself, as it hears nothing of the
 * store.
 *
 * Not thread safe. Instants never go back.
 */
class RenewerBook
{
public:
    /** Three questions in a row without an answer. */
    static constexpr Duration silenceLimit = std::chrono::milliseconds{2000};
    /**
     * The same where many are silent at once: the cause is then more likely with who asks.
     */
    static constexpr Duration doubtfulSilence = std::chrono::milliseconds{6000};
    /** Many: this part of all, one in so many, and at least so many. */
    static constexpr std::size_t doubtfulPart = 4;
    static constexpr std::size_t doubtfulCount = 3;
    /**
     * Whoever looks less often than this was held up, and may have answers that it has not read:
     * daemons look at what is due every 100 ms.
     */
    static constexpr Duration heldUp = std::chrono::milliseconds{300};

    explicit RenewerBook(const KeyTimings &timings);

    /** Takes in the row of \a host. */
    void rowSeen(const HostName &host, const DaemonRow &row, std::uint64_t version);

    /** Notes that \a host has no row any more; it is still reckoned with for a while. */
    void rowGone(const HostName &host, Instant now);

    /**
     * Notes that answers are being taken in at \a now: what passes between two calls beyond heldUp
     * is not counted as anybody's silence. To be called before lost().
     */
    void looked(Instant now);

    /** Notes that \a host is asked. */
    void asked(const HostName &host, Instant now);

    /** Takes in what a daemon said, in an answer that came at \a now. */
    void answered(const RenewerAnswer &answer, Instant now);

    /** Forgets what was said, when this daemon stops planning. */
    void forgetAnswers();

    /**
     * \returns from when on \a server can't hold keys of \a service that the assignment \a sequence
     * took from it, which was committed by \a committedAt. It may get earlier as daemons answer.
     */
    Instant freeAt(const ServiceName &service, std::uint64_t sequence, const ServerName &server,
                   Instant committedAt) const;

    /**
     * \returns the daemons that have not answered for silenceLimit, or for doubtfulSilence if they
     * are many: their rows only make everybody wait. One that lives sees that it has none, and
     * writes another.
     */
    std::vector<Renewer> lost(Instant now) const;

    /** \returns whether \a host said last that it goes by an assignment before \a sequence. */
    bool isBehind(const HostName &host, const ServiceName &service, std::uint64_t sequence) const;

    /** Forgets daemons that have no row and can't have any effect any more. */
    void forgetGone(Instant now);

    const std::map<HostName, Renewer> &renewers() const;

private:
    struct Word
    {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
        /** Never earlier than the last grant came to the server. */
        std::map<ServerName, Instant> lastGrant;
    };

    const Word *wordOf(const Renewer &renewer, const ServiceName &service,
                       std::uint64_t sequence) const;

    KeyTimings m_timings;
    std::map<HostName, Renewer> m_renewers;
    std::map<std::pair<HostName, ServiceName>, Word> m_words;
    Instant m_lookedAt;
};

inline const std::map<HostName, Renewer> &RenewerBook::renewers() const
{
    return m_renewers;
}

} // namespace bulrush
