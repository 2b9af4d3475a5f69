#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace greengagestair {

/**
 * In-memory platform for tests: a key-value service and a host list that follow the published
 * protocol. CellSimulation passes it the CallPlatform effects of its hosts.
 */
class FakePlatform
{
public:
    /** Delivers the result of a call after a delay. */
    using Reply = std::function<void(Duration delay, const PlatformFinished &finished)>;

    /** Answers a call: at once or, for a watch, when the watched key changes or its timeout passes.
     */
    void handle(const CallPlatform &call, const Reply &reply);
    /** Sets a key, which increases its revision by 1 and completes its watches. */
    void put(const std::string &key, const std::string &value);
    /** Returns the value of a key; empty if it does not exist. */
    std::string get(const std::string &key) const;
    /** Returns the revision of a key; 0 if it does not exist. */
    Revision revision(const std::string &key) const;
    /** Replaces the host list by these hosts, all of them live, and increases its revision by 1. */
    void setHosts(const std::vector<std::string> &live);

    bool down = false;         ///< all calls fail and have no effect
    bool losesAnswers = false; ///< calls take effect, but fail because their answers are lost
    std::map<std::string, int> calls; ///< number of calls by kind: watch, read, write, hosts

private:
    struct Value
    {
        Revision revision;
        std::string text;
    };
    struct Watch
    {
        CallId call;
        PlatformKey key;
        Revision after;
        Reply reply;
    };

    decltype(PlatformFinished::result) result(const CallPlatform &call);
    void completeWatches(const std::string &key);

    std::map<std::string, Value> m_values;
    std::vector<Watch> m_watches;
    HostListAnswer m_hosts;
};

} // namespace greengagestair
