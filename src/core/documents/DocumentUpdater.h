#pragma once

#include "core/Interfaces.h"

#include <cstdint>
#include <map>

namespace greengagestair {

/** Told of each value of a document that a change has read or written. */
using DocumentObserver = std::function<void(StepContext &context, const PlatformKey &key,
                                            Revision version, const std::string &content)>;

/**
 * Changes of documents by read, apply and compare-and-swap. After a conflict or a lost answer the
 * key is read again and the change applied to what is found; a change function must therefore
 * return nothing when its effect is already there.
 */
class DocumentUpdater
{
public:
    DocumentUpdater(PlatformAccess &platform, DocumentObserver seen);

    void start(StepContext &context, const PlatformKey &key, DocumentChangeFunction change,
               Duration timeout, DocumentChangeHandler done);
    /** Retries what is due; ends changes whose time is over. */
    void onTick(StepContext &context);
    MonotonicTime nextWakeUp() const;
    std::size_t size() const { return m_changes.size(); }

private:
    struct Change
    {
        PlatformKey key;
        DocumentChangeFunction apply;
        DocumentChangeHandler done;
        MonotonicTime deadline;
        MonotonicTime nextRead; ///< if no call is under way
        bool callInProgress = false;
        int failures = 0;
        std::string written; ///< by the last compare-and-swap, if its answer was lost
        bool writeOutcomeUnknown = false;
    };

    Change *find(std::uint64_t id);
    void read(StepContext &context, std::uint64_t id);
    void onRead(StepContext &context, std::uint64_t id, const PlatformFinished &finished);
    void apply(StepContext &context, std::uint64_t id, Revision revision,
               const std::optional<std::string> &current);
    void write(StepContext &context, std::uint64_t id, Revision expected, std::string value);
    void onWritten(StepContext &context, std::uint64_t id, const PlatformFinished &finished);
    void scheduleRetry(StepContext &context, Change &change);
    void finish(StepContext &context, std::uint64_t id, bool accepted);

    PlatformAccess &m_platform;
    DocumentObserver m_observer;
    std::map<std::uint64_t, Change> m_changes;
    std::uint64_t m_lastId = 0;
};

} // namespace greengagestair
