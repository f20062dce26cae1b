#pragma once

#include "version/fence.h"
#include "version/identifier.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::ctl {

/** The leader of a failure domain, according to one daemon. */
struct LeaderView
{
    DomainName domain;
    /** Empty if the daemon has no leader recorded for the domain. */
    Incarnation holder;
    std::uint64_t epoch = 0;
    /** Whether the reporting daemon is the holder. */
    bool isSelf = false;
    /**
     * Whether the lease is renewed at the platform rather than by promises of candidates. Valid
     * only in the status of the holder.
     */
    bool hasPlatformLease = false;
};

/** The latest assignment of a failure domain that a daemon uses for routing. */
struct AssignmentView
{
    DomainName domain;
    Fence version;
    std::uint64_t slices = 0;
    std::uint64_t servers = 0;
};

/** A backend server, according to one daemon. */
struct ServerView
{
    ServerName name;
    /** The daemon that manages the connections of the server. */
    Incarnation manager;
    std::uint64_t inFlight = 0;
    std::uint64_t slices = 0;
    /** Whether the daemon considers the server lost. */
    bool isLost = false;
};

/** Another daemon, according to one daemon. */
struct PeerView
{
    HostName host;
    DomainName domain;
    Incarnation incarnation;
    std::string state;
};

/** The status that a daemon reports at GET /status on its port for operators. */
struct DaemonStatus
{
    HostName host;
    DomainName domain;
    Incarnation incarnation;
    bool isLeaving = false;
    /** Whether the daemon is ready to serve; true if its status does not contain this. */
    bool isReady = true;
    /** Age of its routing data; nothing if the daemon can't confirm that the data is current. */
    std::optional<std::uint64_t> currentAsOfMs;
    /** Versions of the contracts that the daemon applies. */
    std::map<OrganisationName, std::uint64_t> contracts;
    std::vector<LeaderView> leaders;
    std::vector<AssignmentView> assignments;
    std::vector<ServerView> servers;
    std::vector<PeerView> peers;
    std::map<std::string, std::uint64_t> counters;
};

/** \returns the status in \a json, or nothing if it contains no host name. Thread safe. */
std::optional<DaemonStatus> decodeDaemonStatus(const Json::Value &json);

} // namespace bulrush::ctl
