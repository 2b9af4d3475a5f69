#pragma once

#include "VirtualTime.h"

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace greengagestair {

/** The platform's key-value service and lagging host list, in virtual time. */
class FakePlatform
{
public:
    using Reply = std::function<void(const PlatformFinished &)>;

    FakePlatform(VirtualTime &time, std::mt19937_64 &random);

    /** Answers through `reply`, at the latest when the call's timeout has passed. */
    void call(const CallPlatform &request, Reply reply);
    /** Writes unconditionally, as an operator's tool would after a successful compare-and-swap. */
    Revision write(const PlatformKey &key, const std::string &value);
    std::optional<KeyValue> read(const PlatformKey &key) const;
    /** Shown in the host list from `lag` on. */
    void setHostList(const std::string &content, Duration lag);

    void setDown(bool down) { m_down = down; }
    /** Share of writes whose answer is lost after they took effect, in percent. */
    void setLostAnswers(unsigned percent) { m_lostAnswersPercent = percent; }
    /** Share of reads that answer with the value before the last write, in percent. */
    void setStaleReads(unsigned percent) { m_staleReadsPercent = percent; }

private:
    struct Watch
    {
        PlatformKey key;
        Revision after;
        std::function<void(const PlatformFinished &)> finish;
        CallId call;
        bool ended = false;
    };

    void serve(const CallPlatform &request, const Reply &reply);
    void wakeWatches(const PlatformKey &key);

    VirtualTime &m_time;
    std::mt19937_64 &m_random;
    std::map<PlatformKey, KeyValue> m_values;
    std::map<PlatformKey, KeyValue> m_formerValues;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::string m_hostList = R"({"hosts": []})";
    Revision m_hostListRevision { 1 };
    unsigned m_lostAnswersPercent = 0;
    unsigned m_staleReadsPercent = 0;
    bool m_down = false;
};

} // namespace greengagestair
