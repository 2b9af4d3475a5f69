#include "core/membership/MemberListEditor.h"

#include "core/documents/DocumentParsers.h"
#include "core/documents/DocumentSet.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace greengagestair {

static constexpr Duration kChangeTimeout = std::chrono::seconds(3);

static std::optional<std::vector<Member>> parseMembers(const FailureDomainId &domain,
                                                       const std::optional<std::string> &content)
{
    if (!content)
        return std::vector<Member> {};
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<std::vector<Member>>> {
                BOOST_LEAF_AUTO(list, parseMemberList(domain, *content));
                return std::optional(std::move(list.members));
            },
            [] { return std::optional<std::vector<Member>>(); });
}

MemberListEditor::MemberListEditor(const ReducerOptions &options, DocumentView &documents,
                                   DocumentWriter &writer)
    : m_options(options)
    , m_documents(documents)
    , m_writer(writer)
{
}

void MemberListEditor::create(StepContext &context, const std::set<HostId> &ended)
{
    const Member self { m_options.host, m_options.peerEndpoint, m_documents.hostListVersion() };
    start(context, std::nullopt,
          [self, ended](const std::vector<Member> &members) -> std::optional<std::vector<Member>> {
              // An entry that was added under this host list is of a host that has returned.
              const auto hasEnded = [&](const Member &member) {
                  return ended.contains(member.host)
                          && member.hostListRevision < self.hostListRevision;
              };
              const bool allEnded = std::all_of(members.begin(), members.end(), hasEnded);
              if (!allEnded)
                  return std::nullopt;
              return std::vector<Member> { self };
          });
}

void MemberListEditor::add(StepContext &context, Revision version, const Member &member)
{
    start(context, version,
          [member](std::vector<Member> members) -> std::optional<std::vector<Member>> {
              if (std::find(members.begin(), members.end(), member) != members.end())
                  return std::nullopt;
              std::erase_if(members,
                            [&member](const Member &other) { return other.host == member.host; });
              members.push_back(member);
              return members;
          });
}

void MemberListEditor::remove(StepContext &context, Revision version, const HostId &host)
{
    start(context, version,
          [host](std::vector<Member> members) -> std::optional<std::vector<Member>> {
              const std::size_t removed = std::erase_if(
                      members, [&host](const Member &member) { return member.host == host; });
              if (removed == 0 || members.empty())
                  return std::nullopt;
              return members;
          });
}

void MemberListEditor::start(StepContext &context, std::optional<Revision> version, Edit edit)
{
    m_busy = true;
    context.counters.add("member_list_changes_total");
    const FailureDomainId domain = m_options.failureDomain;
    const auto change =
            [this, domain, version, edit = std::move(edit)](
                    const std::optional<std::string> &current) -> std::optional<std::string> {
        // The writer adopts the document that it has read before it calls this function, so this is
        // the version that the change replaces.
        if (version && m_documents.memberListVersion(domain) != *version)
            return std::nullopt;
        std::optional<std::vector<Member>> members = parseMembers(domain, current);
        if (members)
            members = edit(std::move(*members));
        if (!members)
            return std::nullopt;
        return formatMemberList({ domain, std::move(*members) });
    };
    m_writer.change(context, membersKey(domain), change, kChangeTimeout,
                    [this](StepContext &, bool) { m_busy = false; });
}

} // namespace greengagestair
