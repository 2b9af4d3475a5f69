#pragma once

#include "core/FakePlatform.h"
#include "core/documents/DocumentStore.h"
#include "core/documents/PlatformCallTracker.h"
#include "core/membership/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace greengagestair {

/**
 * Simulates entry hosts with the documents and membership modules, the network between them and the
 * platform, in virtual time. Tests inject faults into it. After each step of a host it checks that
 * no two hosts may send to the same server; violations are counted in `violations`.
 */
class CellSimulation
{
public:
    /** The process of one entry host. */
    struct Node
    {
        ReducerOptions options;
        IdentifierSource identifiers;
        PlatformCallTracker platform { identifiers };
        DocumentStore documents { options, platform };
        Membership membership;
        CounterSet counters;
        std::mt19937_64 random;
        std::vector<std::function<void(StepContext &)>> inbox; ///< work that waits while frozen
        std::map<StateChangeKind, int> changes; ///< number of logged changes of each kind
        bool frozen = false;
        MonotonicTime wakeUp = kNever; ///< time of the scheduled next step

        explicit Node(const ReducerOptions &nodeOptions)
            : options(nodeOptions)
            , membership(options, documents, documents)
            , random(nodeOptions.randomSeed)
        {
        }
    };

    /** Equal seeds give equal runs. */
    explicit CellSimulation(std::uint64_t seed, MechanismSwitches mechanisms = {});

    /** Starts a process; a running process of the same host name is killed first. */
    void start(const std::string &host, const std::string &domain = "shubra");
    /** Ends the process of a host at once. */
    void kill(const std::string &host);
    /** Pauses the process of a host; messages and timers wait until it resumes. */
    void freeze(const std::string &host, Duration length);
    /**
     * Drops all messages from one host to another. With "platform" as `to`, the host's calls to the
     * platform fail.
     */
    void blockLink(const std::string &from, const std::string &to);
    /** Unblocks all links and ends an outage of the platform. */
    void heal();
    /** Makes a host leave its cell; its owner role is idle at once. */
    void leave(const std::string &host);
    /** Runs `work` in the process of a host now, then the ticks of its modules. */
    void step(const std::string &host, const std::function<void(StepContext &)> &work);
    /** Advances virtual time by `length`. */
    void run(Duration length);

    /** The process of a host, which must exist. */
    Node &node(const std::string &host) { return *m_nodes.at(host); }
    /** Hosts whose process exists and is not frozen. */
    std::vector<std::string> runningHosts() const;
    MonotonicTime now() const { return m_now; }
    /** The backend servers of all failure domains. */
    const std::vector<ServerId> &servers() const { return m_servers; }
    /** Running hosts that may send to the server now. */
    std::vector<std::string> activeOwners(const ServerId &server) const;
    /** Whether each server of the domain has an active owner. */
    bool allServersOwned(const std::string &domain = "shubra") const;

    FakePlatform platform;
    std::vector<Endpoint> seeds; ///< for processes that are started from now on
    Duration maxMessageDelay = std::chrono::milliseconds(2);
    std::uint64_t violations = 0; ///< checks that found a server with two active owners
    std::string firstViolation;   ///< server, time and the state of both hosts

private:
    void schedule(MonotonicTime time, std::function<void()> work);
    void handleEffects(const std::string &host, const Effects &effects);
    void send(const std::string &from, const SendToPeer &message);
    void deliver(const std::string &host, const PeerEnvelope &envelope);
    void scheduleWakeUp(const std::string &host);
    void checkSingleOwner(const FailureDomainId &domain);

    MechanismSwitches m_mechanisms;
    std::mt19937_64 m_random;
    MonotonicTime m_now { std::chrono::seconds(1000) };
    std::multimap<MonotonicTime, std::function<void()>> m_queue;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<std::string, std::string> m_hostsByAddress;
    std::set<std::pair<std::string, std::string>> m_blockedLinks;
    std::vector<ServerId> m_servers;
    std::vector<std::string> m_domains { "shubra", "bulaq" };
};

/** Returns a configuration document with `serversPerDomain` servers in each failure domain. */
std::string makeConfiguration(const std::vector<std::string> &domains, int serversPerDomain,
                              const std::string &changeId = "test-1");

} // namespace greengagestair
