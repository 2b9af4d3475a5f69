#include "core/documents/DocumentChanges.h"

#include "core/Assert.h"
#include "core/Backoff.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

using namespace std::chrono_literals;

/** Of one read or write; the platform answers in milliseconds. */
static constexpr Duration kCallTimeout = 1s;
static constexpr Duration kFirstRetry = 20ms;
static constexpr Duration kLongestRetry = 1s;
/** The platform holds values up to this size. */
static constexpr std::size_t kMaxValueBytes = 1'000'000;

DocumentChanges::DocumentChanges(PlatformCaller &platform, DocumentSeen seen)
    : m_platform(platform)
    , m_seen(std::move(seen))
{
}

void DocumentChanges::start(StepContext &context, const PlatformKey &key, DocumentChange change,
                            Duration timeout, DocumentChangeDone done)
{
    const std::uint64_t id = ++m_lastId;
    Change &entry = m_changes[id];
    entry.key = key;
    entry.apply = std::move(change);
    entry.done = std::move(done);
    entry.deadline = context.now() + timeout;
    context.counters.add("document_changes_total");
    read(context, id);
}

void DocumentChanges::onTick(StepContext &context)
{
    std::vector<std::uint64_t> ended;
    std::vector<std::uint64_t> due;
    for (const auto &[id, change] : m_changes) {
        if (context.now() >= change.deadline)
            ended.push_back(id);
        else if (!change.calling && context.now() >= change.nextRead)
            due.push_back(id);
    }
    for (const std::uint64_t id : ended)
        finish(context, id, false);
    for (const std::uint64_t id : due) {
        if (find(id))
            read(context, id);
    }
}

MonotonicTime DocumentChanges::nextWakeUp() const
{
    MonotonicTime next = kNever;
    for (const auto &[id, change] : m_changes) {
        next = std::min(next, change.deadline);
        if (!change.calling)
            next = std::min(next, change.nextRead);
    }
    return next;
}

DocumentChanges::Change *DocumentChanges::find(std::uint64_t id)
{
    const auto found = m_changes.find(id);
    return found == m_changes.end() ? nullptr : &found->second;
}

void DocumentChanges::read(StepContext &context, std::uint64_t id)
{
    Change *change = find(id);
    change->calling = true;
    m_platform.call(context, ReadKey { change->key }, kCallTimeout,
                    [this, id](StepContext &step, const PlatformFinished &finished) {
                        onRead(step, id, finished);
                    });
}

void DocumentChanges::onRead(StepContext &context, std::uint64_t id,
                             const PlatformFinished &finished)
{
    if (const auto *found = std::get_if<KeyValue>(&finished.result))
        m_seen(context, found->key, found->revision, found->value);
    Change *change = find(id);
    if (!change)
        return;
    change->calling = false;
    if (const auto *found = std::get_if<KeyValue>(&finished.result))
        apply(context, id, found->revision, found->value);
    else if (std::holds_alternative<KeyAbsent>(finished.result))
        apply(context, id, Revision {}, std::nullopt);
    else
        retryLater(context, *change);
}

void DocumentChanges::apply(StepContext &context, std::uint64_t id, Revision revision,
                            const std::optional<std::string> &current)
{
    Change *change = find(id);
    if (change->writeLost && current == change->written) {
        finish(context, id, true);
        return;
    }
    std::optional<std::string> wanted = change->apply(current);
    if (!wanted) {
        finish(context, id, true);
        return;
    }
    if (wanted->size() > kMaxValueBytes) {
        context.counters.add("document_changes_too_large_total");
        finish(context, id, false);
        return;
    }
    write(context, id, revision, std::move(*wanted));
}

void DocumentChanges::write(StepContext &context, std::uint64_t id, Revision expected,
                            std::string value)
{
    Change *change = find(id);
    change->calling = true;
    change->written = value;
    m_platform.call(context, WriteKey { change->key, expected, std::move(value) }, kCallTimeout,
                    [this, id](StepContext &step, const PlatformFinished &finished) {
                        onWritten(step, id, finished);
                    });
}

void DocumentChanges::onWritten(StepContext &context, std::uint64_t id,
                                const PlatformFinished &finished)
{
    Change *change = find(id);
    if (!change)
        return;
    change->calling = false;
    if (const auto *accepted = std::get_if<WriteAccepted>(&finished.result)) {
        const PlatformKey key = change->key;
        const std::string written = change->written;
        m_seen(context, key, accepted->revision, written);
        finish(context, id, true);
        return;
    }
    change->writeLost = false;
    if (std::holds_alternative<RevisionConflict>(finished.result)) {
        context.counters.add("document_change_conflicts_total");
        read(context, id);
        return;
    }
    const auto *failure = std::get_if<PlatformFailure>(&finished.result);
    change->writeLost = failure && failure->sent;
    retryLater(context, *change);
}

void DocumentChanges::retryLater(StepContext &context, Change &change)
{
    ++change.failures;
    change.nextRead = context.now()
            + backoffDelay(change.failures, kFirstRetry, kLongestRetry, context.random);
}

void DocumentChanges::finish(StepContext &context, std::uint64_t id, bool accepted)
{
    auto entry = m_changes.extract(id);
    GREENGAGESTAIR_ASSERT(!entry.empty());
    if (entry.mapped().done)
        entry.mapped().done(context, accepted);
}

} // namespace greengagestair
