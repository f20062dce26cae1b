#pragma once

#include "process/clock.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/**
 * Shows that a request has not run and will not run. Only RequestCopies creates one, and lets no
 * copy of the request be sent from then on.
 */
class NotRunProof
{
public:
    enum class Kind {
        NeverSent, ///< no byte of any copy can have left this daemon
        Denied,    ///< the holder of each copy stated that it did not run it and will not
    };

    /** Thread safe. */
    Kind kind() const;

private:
    friend class RequestCopies;

    explicit NotRunProof(Kind kind);

    Kind m_kind;
};

/** \returns the name of \a kind in logs. Thread safe. */
std::string_view nameOf(NotRunProof::Kind kind);

/**
 * Accounts for all copies of one request, at backend servers and at other daemons. A copy that was
 * sent may run until its holder denies that.
 *
 * Not thread safe.
 */
class RequestCopies
{
public:
    using Number = std::size_t;

    /** Adds a copy for \a holder, a server or another daemon, of which nothing was sent yet. */
    Number add(std::string holder);

    /**
     * Records that the copy \a number leaves at \a now. To be called before its first byte may be
     * sent. \returns false if it must not be sent: the request was proved not to run, or the copy
     * was released before.
     */
    [[nodiscard]] bool release(Number number, Instant now);

    /**
     * Records that the holder of the copy \a number stated that it did not run it and will not.
     * Ignored if the copy has been lost: then the statement may be about another copy.
     */
    void recordDenial(Number number);

    /**
     * Records that the copy \a number ran, or that nothing more will be heard of it. Ignored if
     * nothing of it was sent.
     */
    void recordMayHaveRun(Number number);

    /** \returns whether a holder that has not answered yet has a copy. */
    bool isAtHolder() const;

    /** \returns whether a copy ran, or was lost. */
    bool mayHaveRun() const;

    /**
     * \returns the proof that the request has not run and will not, or nothing if a copy that was
     * sent was not denied. After a proof no copy can be released.
     */
    std::optional<NotRunProof> proveNotRun();

    /** \returns the holders with times in milliseconds after \a start and states, as for logs. */
    std::string text(Instant start) const;

private:
    enum class State {
        Unsent,
        AtHolder,
        Denied,
        MayHaveRun,
    };

    struct Copy
    {
        std::string holder;
        State state = State::Unsent;
        Instant sentAt;
    };

    static std::string_view nameOf(State state);
    bool hasCopy(State state) const;

    std::vector<Copy> m_copies;
    bool m_isClosed = false;
};

inline NotRunProof::Kind NotRunProof::kind() const
{
    return m_kind;
}

} // namespace bulrush
