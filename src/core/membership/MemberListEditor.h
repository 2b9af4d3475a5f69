#pragma once

#include "core/Interfaces.h"

#include <set>

namespace greengagestair {

/**
 * Writes changes of this cell's member list to the platform, one host at a time.
 *
 * Membership may start an addition or removal only while it holds grants of a majority at the
 * current version of the list. A majority then no longer grants at the version before, so members
 * that still have an older list soon hold no majority of it. A change is abandoned if the list has
 * another version by then.
 */
class MemberListEditor
{
public:
    MemberListEditor(const ReducerOptions &options, DocumentView &documents,
                     DocumentWriter &writer);

    /** Whether a change is in progress. Start no other one meanwhile. */
    bool isBusy() const { return m_busy; }

    /**
     * Writes a list that contains this host only. Does nothing if the current list has a member
     * that is not in `ended` or that was added after it ended.
     */
    void create(StepContext &context, const std::set<HostId> &ended);
    /** Adds a host, or replaces its entry, if the list still has this version. */
    void add(StepContext &context, Revision version, const Member &member);
    /** Removes a host if the list still has this version. Never removes the last one. */
    void remove(StepContext &context, Revision version, const HostId &host);

private:
    /** Returns the new members; nothing if no change is needed. */
    using Edit = std::function<std::optional<std::vector<Member>>(std::vector<Member> members)>;

    void start(StepContext &context, std::optional<Revision> version, Edit edit);

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    DocumentWriter &m_writer;
    bool m_busy = false;
};

} // namespace greengagestair
