#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace greengagestair {

/** Key-value service and host list of tests, by the published protocol. */
class FakePlatform
{
public:
    using Reply = std::function<void(Duration delay, const PlatformFinished &finished)>;

    /** Answers a call, now or when a watched key changes. */
    void handle(const CallPlatform &call, const Reply &reply);
    void put(const std::string &key, const std::string &value);
    std::string get(const std::string &key) const;
    Revision revision(const std::string &key) const;
    void setHosts(const std::vector<std::string> &live);

    bool down = false;         ///< no call is answered or takes effect
    bool losesAnswers = false; ///< calls take effect, but their answers are lost
    std::map<std::string, int> calls;

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
