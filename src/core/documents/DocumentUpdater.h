#pragma once

#include "core/Interfaces.h"

#include <cstdint>
#include <map>

namespace greengagestair {

/** Called with each document content that a change has read from or written to the platform. */
using DocumentObserver = std::function<void(StepContext &context, const PlatformKey &key,
                                            Revision version, const std::string &content)>;

/**
 * Changes documents in the platform by read-modify-write: it reads the key, applies the change
 * function and writes the result by compare-and-swap. After a conflict or a lost answer it starts
 * again with the read. A change function must therefore return nothing if the content that it gets
 * already has the wanted effect. Used by DocumentStore.
 */
class DocumentUpdater
{
public:
    DocumentUpdater(PlatformAccess &platform, DocumentObserver observer);

    /** Starts a change; parameters as in DocumentWriter::change. */
    void start(StepContext &context, const PlatformKey &key, DocumentChangeFunction change,
               Duration timeout, DocumentChangeHandler done);
    /** Starts the reads that are due and ends the changes whose timeout has passed. */
    void onTick(StepContext &context);
    /** Time at which onTick must be called next. */
    MonotonicTime nextWakeUp() const;
    /** Number of changes in progress. */
    std::size_t size() const { return m_changes.size(); }

private:
    /** A change in progress. */
    struct Change
    {
        PlatformKey key;
        DocumentChangeFunction apply;
        DocumentChangeHandler done;
        MonotonicTime deadline;
        MonotonicTime nextRead; ///< start of the next read, if no call is in progress
        bool callInProgress = false;
        int failures = 0;    ///< failed calls, for the delay of the next read
        std::string written; ///< content of the last compare-and-swap
        /** The answer to the last compare-and-swap was lost, so it may have taken effect. */
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
