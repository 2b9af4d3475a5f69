#pragma once

#include "gateway/Gateway.h"
#include "gateway/StoreRoleElection.h"
#include "gateway/StoreWatcher.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace greengagestair {

using namespace std::chrono_literals;

/** A fleet whose store comes back from an older copy, and what else happens to it. */
struct StorePattern
{
    std::size_t hosts = 7;
    std::size_t domains = 3;
    int lostChanges = 8;        ///< changes that the copy lacks
    int laterChanges = 1;       ///< changes after the return, one each second
    int changesBeforeCalls = 0; ///< changes at the return itself, before a host can ask
    bool hasReturn = true;      ///< false: the store is only away for a while
    bool returnsTwice = false;  ///< the store goes back once more, a second later
    bool statesEra = true;
    bool arePublishersCut = false; ///< publishers cannot reach the store from before the return on
    double cutShare = 0;     ///< hosts that are cut off from all others until 3 s after the return
    double lostFrames = 0;   ///< share of the frames between hosts that are lost
    double slowShare = 0;    ///< hosts whose calls take 1.5 s longer
    double restartShare = 0; ///< hosts whose processes start again 0.3 s after the return
};

/** Result of a StoreFleet. */
struct StoreOutcome
{
    bool areAllCurrent = false; ///< at the end, each host holds just what the store holds
    Duration untilCurrent {};   ///< from the return until the last host holds the era of the store
    std::size_t calls = 0;
    std::size_t callsInBusiestSecond = 0; ///< since the return
    std::size_t readsOfAll = 0;           ///< since the return
    bool hasFallenBack = false; ///< a host has applied a change of an earlier era after a later one
};

/**
 * The watchers of a fleet and their store in virtual time, without network. Entries of servers
 * carry the number of their change as start of the process.
 */
class StoreFleet
{
public:
    StoreFleet(const StorePattern &pattern, std::uint64_t seed);
    ~StoreFleet();
    StoreOutcome run();
    /**
     * Kills the processes of these roles in all failure domains, and removes a server from the
     * store right after that. Returns the longest time from there until a host stops using the
     * server.
     */
    Duration runWithKilled(const std::set<StoreRole> &killed);

private:
    using OnEntries = std::function<void(StoreResult<StoreEntries>)>;
    using Action = std::function<void()>;
    using Content = std::map<std::string, std::uint64_t>; ///< number of the change by key
    struct Change
    {
        std::string key;
        std::uint64_t number = 0; ///< 0 for a removal
    };
    struct State
    {
        Content content;
        std::map<std::uint64_t, Change> history; ///< by revision
        std::uint64_t revision = 100;
    };
    struct Watch
    {
        std::size_t host;
        std::uint64_t after;
        OnEntries done;
        bool isOpen = true;
    };
    class HostStore;
    struct Host
    {
        HostEntry entry;
        std::unique_ptr<HostStore> store;
        std::unique_ptr<StoreRoleElection> election;
        std::unique_ptr<StoreWatcher> watcher;
        std::uint64_t incarnation = 0;
        Content view;
        StorePosition highest;
        std::optional<MonotonicTime> armedFor;
        std::unique_ptr<Gateway> gateway;       ///< only in runWithKilled()
        std::optional<MonotonicTime> removesAt; ///< when it stops using the removed server
    };
    struct Event
    {
        MonotonicTime at;
        std::uint64_t order;
        Action action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void after(Duration delay, Action action);
    void runUntil(MonotonicTime end);
    void startProcess(std::size_t host);
    void arm(std::size_t host);
    void apply(std::size_t host, const GatewayEvent &event);
    /** Passes the event on to the host's gateway and notes when that removes m_removedServer. */
    void applyToGateway(Host &host, const GatewayEvent &event);
    void kill(std::size_t host);
    void share(std::size_t from, const StoreChanges &changes);
    bool isCut(std::size_t host) const;
    bool reachesStore(std::size_t host) const;
    Duration callTime(std::size_t host);
    /** Drops the result if the process that made the call has ended meanwhile. */
    OnEntries whileAlive(std::size_t host, OnEntries done);
    void readAll(std::size_t host, OnEntries done);
    void watch(std::size_t host, Revision after, Duration wait, OnEntries done);
    void answerWatches();
    void answer(const std::shared_ptr<Watch> &watch);
    StoreEntries entriesAfter(std::uint64_t revision) const;
    StorePosition position() const;
    void change();
    void goDown();
    void goUp();
    void countCall(bool isReadOfAll);
    bool areAllInStoreEra() const;
    void noteIfCurrent();

    StorePattern m_pattern;
    std::mt19937_64 m_random;
    MonotonicTime m_now { 100s };
    std::vector<Host> m_hosts;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    std::uint64_t m_changes = 0; ///< numbers of changes are never used again
    bool m_isDown = false;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::set<std::size_t> m_cutHosts;
    ServerId m_removedServer;
    std::set<std::size_t> m_cutFromStore;
    std::set<std::size_t> m_slowHosts;
    std::optional<MonotonicTime> m_returnedAt;
    std::map<Duration::rep, std::size_t> m_callsBySecond; ///< since the return
    std::optional<MonotonicTime> m_currentAt;
    StoreOutcome m_outcome;
};

} // namespace greengagestair
