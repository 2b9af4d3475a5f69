#include "core/FakePlatform.h"

#include "core/documents/DocumentParsers.h"

#include <algorithm>

namespace greengagestair {

using namespace std::chrono_literals;

/** Delay of each answer. */
static constexpr Duration kLatency = 2ms;

void FakePlatform::handle(const CallPlatform &call, const Reply &reply)
{
    if (down) {
        reply(std::min<Duration>(call.timeout, 1s), { call.call, PlatformFailure { {}, true } });
        return;
    }
    const auto *watch = std::get_if<WatchKey>(&call.request);
    if (watch && m_values[watch->key.value].revision <= watch->after) {
        ++calls["watch"];
        m_watches.push_back({ call.call, watch->key, watch->after, reply });
        reply(watch->timeout, { call.call, WatchExpired { watch->key } });
        return;
    }
    const auto answer = result(call);
    if (losesAnswers)
        reply(call.timeout, { call.call, PlatformFailure { {}, true } });
    else
        reply(kLatency, { call.call, answer });
}

decltype(PlatformFinished::result) FakePlatform::result(const CallPlatform &call)
{
    if (std::holds_alternative<ListHosts>(call.request)) {
        ++calls["hosts"];
        return m_hosts;
    }
    if (const auto *write = std::get_if<WriteKey>(&call.request)) {
        ++calls["write"];
        if (m_values[write->key.value].revision != write->expected)
            return RevisionConflict { write->key, m_values[write->key.value].revision };
        put(write->key.value, write->value);
        return WriteAccepted { write->key, m_values[write->key.value].revision };
    }
    ++calls["read"];
    const auto *read = std::get_if<ReadKey>(&call.request);
    const PlatformKey key = read ? read->key : std::get<WatchKey>(call.request).key;
    const Value &value = m_values[key.value];
    if (value.revision.value == 0)
        return KeyAbsent { key };
    return KeyValue { key, value.revision, value.text };
}

void FakePlatform::put(const std::string &key, const std::string &value)
{
    m_values[key] = { { m_values[key].revision.value + 1 }, value };
    completeWatches(key);
}

std::string FakePlatform::get(const std::string &key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? std::string() : found->second.text;
}

Revision FakePlatform::revision(const std::string &key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? Revision {} : found->second.revision;
}

void FakePlatform::setHosts(const std::vector<std::string> &live)
{
    HostList list;
    for (const std::string &host : live)
        list.hosts.push_back({ host, ListedState::Live });
    m_hosts = { { m_hosts.revision.value + 1 }, formatHostList(list) };
}

void FakePlatform::completeWatches(const std::string &key)
{
    const Value &value = m_values[key];
    std::vector<Watch> completed;
    for (const Watch &watch : m_watches) {
        if (watch.key.value == key && value.revision > watch.after)
            completed.push_back(watch);
    }
    std::erase_if(m_watches, [&](const Watch &watch) { return watch.key.value == key; });
    for (const Watch &watch : completed)
        watch.reply(kLatency, { watch.call, KeyValue { watch.key, value.revision, value.text } });
}

} // namespace greengagestair
