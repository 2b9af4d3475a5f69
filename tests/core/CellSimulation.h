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

/** Entry hosts with documents and membership on a network and platform in virtual time. */
class CellSimulation
{
public:
    struct Node
    {
        ReducerOptions options;
        IdentifierSource identifiers;
        PlatformCallTracker platform { identifiers };
        DocumentStore documents { options, platform };
        Membership membership;
        CounterSet counters;
        std::mt19937_64 random;
        std::vector<std::function<void(StepContext &)>> inbox; ///< while frozen
        std::map<StateChangeKind, int> changes;
        bool frozen = false;
        MonotonicTime wakeUp = kNever;

        explicit Node(const ReducerOptions &nodeOptions)
            : options(nodeOptions)
            , membership(options, documents, documents)
            , random(nodeOptions.randomSeed)
        {
        }
    };

    explicit CellSimulation(std::uint64_t seed, MechanismSwitches mechanisms = {});

    /** Starts a process; a running one of that name ends. */
    void start(const std::string &host, const std::string &domain = "shubra");
    void kill(const std::string &host);
    void freeze(const std::string &host, Duration length);
    /** Cuts the way between two hosts; "platform" is a host here. */
    void blockLink(const std::string &from, const std::string &to);
    void heal();
    void leave(const std::string &host);
    /** Runs the module code of a host at the present time. */
    void step(const std::string &host, const std::function<void(StepContext &)> &work);
    void run(Duration length);

    Node &node(const std::string &host) { return *m_nodes.at(host); }
    std::vector<std::string> runningHosts() const;
    MonotonicTime now() const { return m_now; }
    const std::vector<ServerId> &servers() const { return m_servers; }
    /** Hosts that may act for the server now. */
    std::vector<std::string> activeOwners(const ServerId &server) const;
    /** Whether each server of the domain has an actor. */
    bool allServersOwned(const std::string &domain = "shubra") const;

    FakePlatform platform;
    std::vector<Endpoint> seeds; ///< of processes started from now on
    Duration maxMessageDelay = std::chrono::milliseconds(2);
    std::uint64_t violations = 0; ///< instants at which two hosts may act for one server
    std::string firstViolation;   ///< with the state of both hosts

private:
    void at(MonotonicTime time, std::function<void()> work);
    void apply(const std::string &host, const Effects &effects);
    void send(const std::string &from, const SendToPeer &message);
    void deliver(const std::string &host, const PeerEnvelope &envelope);
    void scheduleWakeUp(const std::string &host);
    void checkExclusion(const FailureDomainId &domain);

    MechanismSwitches m_mechanisms;
    std::mt19937_64 m_random;
    MonotonicTime m_now { std::chrono::seconds(1000) };
    std::multimap<MonotonicTime, std::function<void()>> m_queue;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<std::string, std::string> m_hostsByAddress;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<ServerId> m_servers;
    std::vector<std::string> m_domains { "shubra", "bulaq" };
};

/** A configuration with the given servers in each failure domain. */
std::string makeConfiguration(const std::vector<std::string> &domains, int serversPerDomain,
                              const std::string &changeId = "test-1");

} // namespace greengagestair
