#pragma once

#include "FakeBackends.h"
#include "FakePlatform.h"
#include "VirtualTime.h"

#include "greengagestair/Configuration.h"
#include "greengagestair/Reducer.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace greengagestair {

/** Faults that a run may draw; several may hold at a time. */
enum class Fault {
    KillHost,
    FreezeHost,
    StopHost,
    CutHosts,
    CutFailureDomain,
    CutFromPlatform,
    CutFromServer,
    PlatformDown,
    LoseWriteAnswers,
    TakeFailureDomainOut,
    ServerCold,
    KillServer,
    DrainServer,
    LeavingServer,
    Repartition,
    CrashingRequest,
    CrossedAnswers,
    StaleReads,
    Count
};

/** What a run is made of. */
struct RunOptions
{
    std::uint64_t seed = 1;
    MechanismSwitches mechanisms;
    int faults = 4;
    std::vector<Fault> allowedFaults; ///< all if empty
    bool checkRecovery = true;
    Duration loadInterval = std::chrono::milliseconds(25); ///< between two lookups
};

/** What a run showed. */
struct RunReport
{
    std::vector<std::string> violations; ///< each starts with the promise, e.g. `R7`
    std::vector<std::string> faults;
    std::map<std::string, int> outcomes;
};

/**
 * One seeded run of several reducers in virtual time, with small fakes of the platform, the
 * backend servers and the callers at their interfaces.
 */
class RandomisedRun
{
public:
    explicit RandomisedRun(const RunOptions &options);
    RunReport run();

private:
    struct Host
    {
        ReducerOptions options;
        std::unique_ptr<Reducer> reducer;
        std::uint64_t life = 0; ///< counts restarts; effects of former lives are dropped
        MonotonicTime frozenUntil = MonotonicTime::min();
        MonotonicTime wakeUp = MonotonicTime::max();
        std::vector<Event> pending; ///< events that arrived while frozen
        Revision configurationVersion;
        std::optional<MonotonicTime> stopRequestedAt;
        bool stopped = false;
    };

    struct Call
    {
        std::size_t host = 0;
        std::uint64_t life = 0;
        std::string service;
        std::string body;
        std::string key;
        MonotonicTime sentAt;
        Duration deadline {};
        bool answered = false;
        bool refusedNotRun = false;
    };

    void buildConfiguration();
    void publishConfiguration();
    void publishSnapshots();
    void publishHostList();
    void startHost(std::size_t index);
    void killHost(std::size_t index);
    void deliver(std::size_t index, Event event);
    void handle(std::size_t index, const Event &event);
    void apply(std::size_t index, const Effect &effect);
    void sendToPeer(std::size_t index, const SendToPeer &effect);
    void sendToBackend(std::size_t index, const SendToBackend &effect);
    void callPlatform(std::size_t index, const CallPlatform &effect);
    void armWakeUp(std::size_t index);
    bool isCut(const std::string &one, const std::string &other) const;
    void cut(const std::string &one, const std::string &other, Duration duration);

    void sendLoad();
    void sendLookup(std::size_t host, const std::string &body, Duration deadline);
    void sendOrder(std::size_t host, const std::string &key);
    void checkAnswer(const AnswerCaller &answer);
    void checkParts(const Call &call, const CallerAnswer &answer);
    void checkOrder(Call &call, const CallerAnswer &answer);
    void checkConfigurationVersion(std::size_t index);
    void checkEnd();
    void violation(const std::string &text);

    void drawFaults();
    void inject(Fault fault);
    void injectHostFault(Fault fault, std::size_t index, Duration duration);
    void injectCut(Fault fault, std::size_t index, Duration duration);
    void injectPlatformFault(Fault fault, Duration duration);
    void injectServerFault(Fault fault, const ServerId &server, Duration duration);
    void freeze(std::size_t index, Duration duration);
    void stop(std::size_t index);
    void cutFailureDomain(const FailureDomainId &domain, Duration duration);
    void takeFailureDomainOut();
    void repartition();
    bool isOnlyFault(Fault fault) const { return m_options.allowedFaults == std::vector { fault }; }
    void healEverything();
    std::size_t anyHost() { return m_random() % m_hosts.size(); }
    ServerId anyServer();
    Duration anyDuration(Duration shortest, Duration longest);

    RunOptions m_options;
    std::mt19937_64 m_random;
    VirtualTime m_time;
    FakePlatform m_platform;
    FakeBackends m_backends;
    Configuration m_configuration;
    ServiceSnapshots m_snapshots;
    std::vector<Host> m_hosts;
    std::map<HostId, std::size_t> m_hostIndex;
    std::map<std::pair<std::string, std::string>, MonotonicTime> m_cuts;
    std::map<CallerId, Call> m_calls;
    std::set<std::string> m_neverRun; ///< order keys that callers were told have not run
    std::map<ServerId, MonotonicTime> m_noWorkAfter; ///< out of service, draining or leaving
    std::set<ServerId> m_leaving;
    std::uint64_t m_callers = 0;
    std::uint64_t m_changes = 0;
    bool m_faultsOver = false;
    RunReport m_report;
};

} // namespace greengagestair
