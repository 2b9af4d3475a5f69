#include "FakePlatform.h"

#include <algorithm>

namespace greengagestair {

static constexpr Duration kOneWay = std::chrono::milliseconds(1);

FakePlatform::FakePlatform(VirtualTime &time, std::mt19937_64 &random)
    : m_time(time)
    , m_random(random)
{
}

static PlatformKey keyOf(const CallPlatform &request)
{
    if (const auto *read = std::get_if<ReadKey>(&request.request))
        return read->key;
    if (const auto *write = std::get_if<WriteKey>(&request.request))
        return write->key;
    if (const auto *watch = std::get_if<WatchKey>(&request.request))
        return watch->key;
    return {};
}

void FakePlatform::call(const CallPlatform &request, Reply reply)
{
    // Exactly one answer reaches the caller: the first of the reply and the timeout.
    const auto answered = std::make_shared<bool>(false);
    const Reply once = [answered, reply](const PlatformFinished &finished) {
        if (*answered)
            return;
        *answered = true;
        reply(finished);
    };
    const PlatformFinished failure { request.call, PlatformFailure { keyOf(request), true } };
    m_time.after(request.timeout, [once, failure] { once(failure); });
    m_time.after(kOneWay, [this, request, once] { serve(request, once); });
}

void FakePlatform::serve(const CallPlatform &request, const Reply &reply)
{
    if (m_down)
        return;
    const auto send = [this, reply, call = request.call](const auto &result) {
        const PlatformFinished finished { call, result };
        m_time.after(kOneWay, [reply, finished] { reply(finished); });
    };
    if (std::holds_alternative<ListHosts>(request.request)) {
        send(HostListAnswer { m_hostListRevision, m_hostList });
        return;
    }
    const PlatformKey key = keyOf(request);
    const auto found = m_values.find(key);
    const Revision current = found == m_values.end() ? Revision {} : found->second.revision;
    if (const auto *write = std::get_if<WriteKey>(&request.request)) {
        if (write->expected != current) {
            send(RevisionConflict { key, current });
            return;
        }
        const Revision revision = this->write(key, write->value);
        const bool lost = m_random() % 100 < m_lostAnswersPercent;
        if (!lost)
            send(WriteAccepted { key, revision });
        return;
    }
    if (const auto *watch = std::get_if<WatchKey>(&request.request)) {
        if (current > watch->after) {
            send(found->second);
            return;
        }
        const auto waiting = std::make_shared<Watch>();
        waiting->key = key;
        waiting->after = watch->after;
        waiting->call = request.call;
        waiting->finish = reply;
        m_watches.push_back(waiting);
        m_time.after(watch->timeout, [this, waiting] {
            if (waiting->ended)
                return;
            waiting->ended = true;
            if (!m_down)
                waiting->finish({ waiting->call, WatchExpired { waiting->key } });
        });
        return;
    }
    const auto former = m_formerValues.find(key);
    const bool stale = m_random() % 100 < m_staleReadsPercent;
    if (found == m_values.end())
        send(KeyAbsent { key });
    else if (stale && former != m_formerValues.end())
        send(former->second);
    else
        send(found->second);
}

Revision FakePlatform::write(const PlatformKey &key, const std::string &value)
{
    KeyValue &entry = m_values[key];
    if (entry.revision.value > 0)
        m_formerValues[key] = entry;
    entry.key = key;
    entry.value = value;
    ++entry.revision.value;
    wakeWatches(key);
    return entry.revision;
}

void FakePlatform::wakeWatches(const PlatformKey &key)
{
    for (const auto &watch : m_watches) {
        if (watch->ended || watch->key != key)
            continue;
        watch->ended = true;
        const PlatformFinished finished { watch->call, m_values.at(key) };
        if (!m_down)
            m_time.after(kOneWay, [watch, finished] { watch->finish(finished); });
    }
    std::erase_if(m_watches, [](const auto &watch) { return watch->ended; });
}

std::optional<KeyValue> FakePlatform::read(const PlatformKey &key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? std::nullopt : std::optional(found->second);
}

void FakePlatform::setHostList(const std::string &content, Duration lag)
{
    m_time.after(lag, [this, content] {
        m_hostList = content;
        ++m_hostListRevision.value;
    });
}

} // namespace greengagestair
