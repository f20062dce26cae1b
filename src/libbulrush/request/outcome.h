#pragma once

#include "process/clock.h"

#include <span>
#include <string_view>
#include <variant>

namespace bulrush {

/**
 * Where the handling of a request can fail. Every failure of an attempt is one of these.
 */
enum class FailurePoint {
    // Before anything was sent to a backend server.
    RateLimited,
    Overloaded,
    QueueFull,
    DeadlineBeforeDispatch,
    DaemonDraining,
    NoRoutingLease,
    NoServer,
    ServerSuspected,
    ClaimUnavailable,
    ClaimAnswerLost,
    ConnectRefused,
    ConnectTimedOut,
    NothingWritten,
    // While a backend server could act.
    PartlyWritten,
    WrittenAndSilent,
    ResetAfterWrite,
    CancelledAfterWrite,
    DaemonLostAfterWrite,
    AnswerCut,
    AnswerNotMatching,
    AnswerWithoutRan,
    // The backend server said that it didn't start.
    ServerShed,
    ServerDeadline,
    ServerFence,
    ServerNotOwner,
    ServerDraining,
    ServerCold,
    ServerNotRunOther,
    // Another request with the same idempotency key decides.
    ClaimInProgress,
    ClaimUnknown,
    RepeatNotChecked,
};

/** The whole answer of the request itself. */
struct CompleteAnswer
{
    bool operator==(const CompleteAnswer &) const = default;
};

/** The request did not run and will not. */
struct NotRun
{
    FailurePoint reason;
    /** When the caller may ask again. */
    Duration retryAfter{};

    bool operator==(const NotRun &) const = default;
};

/** The request may have run, or may still run until its deadline. */
struct Unknown
{
    FailurePoint reason;
    /** When the caller may ask again, with the same idempotency key. */
    Duration retryAfter{};

    bool operator==(const Unknown &) const = default;
};

/**
 * The three ends that a request can have.
 */
using Outcome = std::variant<CompleteAnswer, NotRun, Unknown>;

/**
 * \returns every failure point, in the order of the enumeration. Thread safe.
 */
std::span<const FailurePoint> allFailurePoints();

/**
 * \returns the name of \a point, as it stands in `X-Bulrush-Reason` and in counters. Thread safe.
 */
std::string_view nameOf(FailurePoint point);

/**
 * \returns whether a failure at \a point proves that no backend server runs the attempt.
 * Part of a request counts as something that a server may act on: a server may start before
 * the body is complete. Thread safe.
 */
bool isCertainlyNotRun(FailurePoint point);

/**
 * \returns the end of a request whose only attempt failed at \a point. Thread safe.
 */
Outcome outcomeOf(FailurePoint point, Duration retryAfter);

/**
 * \returns the end of a request whose attempts failed at \a points, in order. One attempt that may
 * have run makes the request unknown, whatever became of the later ones. Thread safe.
 * \pre \a points is not empty
 */
Outcome outcomeOfAttempts(std::span<const FailurePoint> points, Duration retryAfter);

/** What a backend server's whole and matching answer says about whether the work ran. */
enum class RanStatement {
    Yes,
    No,
    Missing,
};

/**
 * \returns the failure point that `X-Bulrush-Reason: reason` of a server's refusal stands for.
 * Thread safe.
 */
FailurePoint failurePointOfRefusal(std::string_view reason);

/**
 * \returns the end that a whole and matching answer makes. An error of the server's (5xx) without
 * a statement is no answer to pass on: it says nothing about whether the work ran. Thread safe.
 */
Outcome outcomeOfAnswer(int status, RanStatement ran, std::string_view reason, Duration retryAfter);

/** An answer of the daemon's own, in place of the server's. */
struct RefusalResponse
{
    int status;
    /** Value of `X-Bulrush-Ran`. */
    std::string_view ran;
    /** Value of `X-Bulrush-Reason`. */
    std::string_view reason;
    /** Value of `Retry-After`: whole seconds, at least one. */
    std::chrono::seconds retryAfter;

    bool operator==(const RefusalResponse &) const = default;
};

/** Pass on the server's answer to its end. */
struct PassAnswer
{
    bool operator==(const PassAnswer &) const = default;
};

/**
 * Close the caller's connection without ending the answer: part of one was passed on, and a cut
 * answer must not look whole.
 */
struct AbortCallerConnection
{
    bool operator==(const AbortCallerConnection &) const = default;
};

/** What the caller gets. */
using CallerResponse = std::variant<PassAnswer, RefusalResponse, AbortCallerConnection>;

/**
 * \returns what a caller gets for \a outcome. \a hasAnswerBegun says whether bytes of the server's
 * answer have gone to the caller already. Thread safe.
 */
CallerResponse callerResponse(const Outcome &outcome, bool hasAnswerBegun);

} // namespace bulrush
