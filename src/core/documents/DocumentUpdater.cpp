#include "core/documents/DocumentUpdater.h"

#include "core/Assert.h"
#include "core/Backoff.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

using namespace std::chrono_literals;

/** Timeout of one read or write. The platform usually answers within milliseconds. */
static constexpr Duration kCallTimeout = 1s;
static constexpr Duration kFirstRetryDelay = 20ms;
static constexpr Duration kMaxRetryDelay = 1s;
/** Largest value that the platform stores. */
static constexpr std::size_t kMaxValueBytes = 1'000'000;

DocumentUpdater::DocumentUpdater(PlatformAccess &platform, DocumentObserver observer)
    : m_platform(platform)
    , m_observer(std::move(observer))
{
}

void DocumentUpdater::start(StepContext &context, const PlatformKey &key,
                            DocumentChangeFunction change, Duration timeout,
                            DocumentChangeHandler done)
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

void DocumentUpdater::onTick(StepContext &context)
{
    std::vector<std::uint64_t> timedOut;
    std::vector<std::uint64_t> due;
    for (const auto &[id, change] : m_changes) {
        if (context.now() >= change.deadline)
            timedOut.push_back(id);
        else if (!change.callInProgress && context.now() >= change.nextRead)
            due.push_back(id);
    }
    for (const std::uint64_t id : timedOut)
        finish(context, id, false);
    for (const std::uint64_t id : due) {
        if (find(id))
            read(context, id);
    }
}

MonotonicTime DocumentUpdater::nextWakeUp() const
{
    MonotonicTime next = kNever;
    for (const auto &[id, change] : m_changes) {
        next = std::min(next, change.deadline);
        if (!change.callInProgress)
            next = std::min(next, change.nextRead);
    }
    return next;
}

DocumentUpdater::Change *DocumentUpdater::find(std::uint64_t id)
{
    const auto found = m_changes.find(id);
    return found == m_changes.end() ? nullptr : &found->second;
}

void DocumentUpdater::read(StepContext &context, std::uint64_t id)
{
    Change *change = find(id);
    change->callInProgress = true;
    m_platform.call(context, ReadKey { change->key }, kCallTimeout,
                    [this, id](StepContext &step, const PlatformFinished &finished) {
                        onRead(step, id, finished);
                    });
}

void DocumentUpdater::onRead(StepContext &context, std::uint64_t id,
                             const PlatformFinished &finished)
{
    if (const auto *found = std::get_if<KeyValue>(&finished.result))
        m_observer(context, found->key, found->revision, found->value);
    Change *change = find(id);
    if (!change)
        return;
    change->callInProgress = false;
    if (const auto *found = std::get_if<KeyValue>(&finished.result))
        apply(context, id, found->revision, found->value);
    else if (std::holds_alternative<KeyAbsent>(finished.result))
        apply(context, id, Revision {}, std::nullopt);
    else
        scheduleRetry(context, *change);
}

void DocumentUpdater::apply(StepContext &context, std::uint64_t id, Revision revision,
                            const std::optional<std::string> &current)
{
    Change *change = find(id);
    if (change->writeOutcomeUnknown && current == change->written) {
        finish(context, id, true);
        return;
    }
    std::optional<std::string> newContent = change->apply(current);
    if (!newContent) {
        finish(context, id, true);
        return;
    }
    if (newContent->size() > kMaxValueBytes) {
        context.counters.add("document_changes_too_large_total");
        finish(context, id, false);
        return;
    }
    write(context, id, revision, std::move(*newContent));
}

void DocumentUpdater::write(StepContext &context, std::uint64_t id, Revision expected,
                            std::string value)
{
    Change *change = find(id);
    change->callInProgress = true;
    change->written = value;
    m_platform.call(context, WriteKey { change->key, expected, std::move(value) }, kCallTimeout,
                    [this, id](StepContext &step, const PlatformFinished &finished) {
                        onWritten(step, id, finished);
                    });
}

void DocumentUpdater::onWritten(StepContext &context, std::uint64_t id,
                                const PlatformFinished &finished)
{
    Change *change = find(id);
    if (!change)
        return;
    change->callInProgress = false;
    if (const auto *accepted = std::get_if<WriteAccepted>(&finished.result)) {
        const PlatformKey key = change->key;
        const std::string written = change->written;
        m_observer(context, key, accepted->revision, written);
        finish(context, id, true);
        return;
    }
    change->writeOutcomeUnknown = false;
    if (std::holds_alternative<RevisionConflict>(finished.result)) {
        context.counters.add("document_change_conflicts_total");
        read(context, id);
        return;
    }
    const auto *failure = std::get_if<PlatformFailure>(&finished.result);
    change->writeOutcomeUnknown = failure && failure->sent;
    scheduleRetry(context, *change);
}

void DocumentUpdater::scheduleRetry(StepContext &context, Change &change)
{
    ++change.failures;
    change.nextRead = context.now()
            + backoffDelay(change.failures, kFirstRetryDelay, kMaxRetryDelay, context.random);
}

void DocumentUpdater::finish(StepContext &context, std::uint64_t id, bool accepted)
{
    auto entry = m_changes.extract(id);
    GREENGAGESTAIR_ASSERT(!entry.empty());
    if (entry.mapped().done)
        entry.mapped().done(context, accepted);
}

} // namespace greengagestair
