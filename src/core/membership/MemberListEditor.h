#pragma once

#include "core/Interfaces.h"

#include <set>

namespace greengagestair {

/**
 * Changes the member list of the own cell in the platform, one host at a time.
 *
 * Additions and removals must be started by a member with a majority at the list's current version:
 * then a majority has left the version before that, and a member with an older list soon holds no
 * majority of it. The change is given up if the list has moved on.
 */
class MemberListEditor
{
public:
    MemberListEditor(const ReducerOptions &options, DocumentView &documents,
                     DocumentWriter &writer);

    bool isBusy() const { return m_busy; }

    /** Writes a list with this host alone if the cell has none, or none but hosts that are gone. */
    void create(StepContext &context, const std::set<HostId> &ended);
    /** Adds a host, or replaces its entry. */
    void add(StepContext &context, Revision version, const Member &member);
    void remove(StepContext &context, Revision version, const HostId &host);

private:
    using Edit = std::function<std::optional<std::vector<Member>>(std::vector<Member> members)>;

    void start(StepContext &context, std::optional<Revision> version, Edit edit);

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    DocumentWriter &m_writer;
    bool m_busy = false;
};

} // namespace greengagestair
