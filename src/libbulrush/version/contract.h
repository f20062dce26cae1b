#pragma once

#include "process/clock.h"
#include "version/fieldproblem.h"
#include "version/identifier.h"
#include "version/pathpattern.h"
#include "version/preference.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrush {

/** Limits on the requests of a customer organisation, over all entry hosts together. */
struct OrganisationLimits
{
    std::uint32_t requestsPerSecond = 0;
    /** Maximum number of requests in flight. */
    std::uint32_t concurrency = 0;

    bool operator==(const OrganisationLimits &) const = default;
};

/** A service-level target: this share of requests is answered within this time. */
struct ServiceLevelTarget
{
    /** Share of requests, in millionths; 99.9% is 999000. */
    std::uint32_t objectivePpm = 999'000;
    Duration within = std::chrono::milliseconds{300};
    /** Period over which the share is computed. */
    Duration window = std::chrono::hours{24 * 30};

    bool operator==(const ServiceLevelTarget &) const = default;
};

/**
 * A service and the organisation's terms for the backend servers in its pool. Where the daemon's
 * settings differ from these terms, the stricter value applies: the lower number; the fencing token
 * is relied on only if both state that it is checked.
 */
struct ServiceTerms
{
    ServiceName name;
    bool isDividedByKey = false;
    /** Whether its servers compare the fencing token of a request with the grant that they hold. */
    bool checksFence = false;
    std::uint32_t slotsPerServer = 0;
    std::uint32_t connectionLimit = 0;
    Preference preference = Preference::Imbalance;

    bool operator==(const ServiceTerms &) const = default;
};

/** The operation's service is not divided by key. */
struct NoKey
{
    bool operator==(const NoKey &) const = default;
};

/** The key is the value of a header field; field names are case-insensitive. */
struct KeyFromHeader
{
    std::string name;

    bool operator==(const KeyFromHeader &) const = default;
};

/** The key is a segment of the path, percent-decoded. */
struct KeyFromPath
{
    /** Index of the segment, from 0. */
    std::size_t segment = 0;

    bool operator==(const KeyFromPath &) const = default;
};

using KeySource = std::variant<NoKey, KeyFromHeader, KeyFromPath>;

/** Determines which requests are served when there is too much load for all. */
enum class OperationClass {
    Ordinary, ///< shed before any priority operation
    Priority,
};

/** One kind of request that an organisation's callers may send. */
struct Operation
{
    OperationName name;
    ServiceName service;
    /** GET, HEAD, POST, PUT, PATCH or DELETE. */
    std::string method;
    PathPattern path;
    /** Whether it may run twice without harm (idempotent). */
    bool isRepeatable = false;
    OperationClass operationClass = OperationClass::Ordinary;
    /** Within a class, the operation with the lowest loss cost is shed first. */
    std::uint32_t lossCost = 0;
    /** How long callers wait for the complete answer. */
    Duration deadline{};
    KeySource key;
    std::uint64_t maxBodyBytes = 0;
    /** The operation's own target if it has one, otherwise the contract's. */
    ServiceLevelTarget target;

    bool operator==(const Operation &) const = default;
};

/**
 * Everything that one customer organisation and its operators agreed on. All limits derive from it.
 */
struct Contract
{
    OrganisationName organisation;
    /**
     * In a file to be uploaded: the version on which the file is based, 0 for a new contract.
     * In a contract in force: its own version.
     */
    std::uint64_t version = 0;
    OrganisationLimits limits;
    ServiceLevelTarget target;
    std::vector<ServiceTerms> services;
    std::vector<Operation> operations;

    bool operator==(const Contract &) const = default;
};

/**
 * Checks the consistency between fields: duplicate names, undefined services, operations that match
 * the same requests, missing keys.
 * \returns all problems, in the order of the fields; none if the contract can be used.
 * Thread safe.
 */
FieldProblems problemsOf(const Contract &contract);

/**
 * \returns the operation of \a contract that matches a request with \a method and path \a segments
 * (see splitPath()), the most specific one if several match, or null if there is none.
 * Valid as long as \a contract is not changed. Thread safe.
 */
const Operation *operationFor(const Contract &contract, std::string_view method,
                              std::span<const std::string> segments);

/** \returns the terms of the service \a name, or null. Valid as long as \a contract is not changed.
 */
const ServiceTerms *serviceTerms(const Contract &contract, const ServiceName &name);

} // namespace bulrush
