#include "core/documents/DocumentSet.h"

#include "core/Assert.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace greengagestair {

static bool hasPrefix(const PlatformKey &key, std::string_view prefix)
{
    return key.value.size() > prefix.size() && key.value.starts_with(prefix);
}

static std::string withoutPrefix(const PlatformKey &key, std::string_view prefix)
{
    return key.value.substr(prefix.size());
}

DocumentKind documentKind(const PlatformKey &key)
{
    if (key.value == kConfigurationKey)
        return DocumentKind::Configuration;
    if (key.value == kHostsKey)
        return DocumentKind::Hosts;
    if (key.value == kQuarantineKey)
        return DocumentKind::Quarantine;
    if (hasPrefix(key, kSnapshotsPrefix))
        return DocumentKind::Snapshots;
    if (hasPrefix(key, kMembersPrefix))
        return DocumentKind::Members;
    return DocumentKind::Other;
}

PlatformKey snapshotsKey(const ServiceId &service)
{
    return { kSnapshotsPrefix + service.value };
}

PlatformKey membersKey(const FailureDomainId &domain)
{
    return { kMembersPrefix + domain.value };
}

DocumentSet::DocumentSet(const MechanismSwitches &mechanisms)
    : m_mechanisms(mechanisms)
{
}

DocumentSet::Adoption DocumentSet::adopt(const PlatformKey &key, Revision version,
                                         const std::string &content)
{
    const Revision held = this->version(key);
    const bool newer = version > held || (!m_mechanisms.versionOrder && version != held);
    if (!newer || version.value == 0)
        return Adoption::NotNewer;
    if (!parseAndApply(key, content)) {
        Revision &malformed = m_entries[key].malformed;
        malformed = std::max(malformed, version);
        return Adoption::Malformed;
    }
    Entry &entry = m_entries[key];
    GREENGAGESTAIR_ASSERT(version > entry.version || !m_mechanisms.versionOrder);
    entry.version = version;
    entry.content = content;
    recordVersion(key, version);
    return Adoption::Adopted;
}

Revision DocumentSet::version(const PlatformKey &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? Revision {} : found->second.version;
}

Revision DocumentSet::seenVersion(const PlatformKey &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? Revision {}
                                    : std::max(found->second.version, found->second.malformed);
}

const std::string *DocumentSet::content(const PlatformKey &key) const
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.version.value == 0)
        return nullptr;
    return &found->second.content;
}

std::vector<DocumentVersion> DocumentSet::versions() const
{
    std::vector<DocumentVersion> versions;
    versions.reserve(m_entries.size());
    for (const auto &[key, held] : m_entries) {
        if (held.version.value != 0)
            versions.push_back({ key, held.version });
    }
    return versions;
}

Revision DocumentSet::memberListVersion(const FailureDomainId &domain) const
{
    const auto found = m_memberListVersions.find(domain);
    return found == m_memberListVersions.end() ? Revision {} : found->second;
}

const ServiceSnapshots *DocumentSet::snapshots(const ServiceId &service) const
{
    const auto found = m_snapshots.find(service);
    return found == m_snapshots.end() ? nullptr : &found->second;
}

const MemberList *DocumentSet::members(const FailureDomainId &domain) const
{
    const auto found = m_members.find(domain);
    return found == m_members.end() ? nullptr : &found->second;
}

std::optional<ResolvedServer> DocumentSet::findServer(const ServerId &server) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return std::nullopt;
    return found->second;
}

bool DocumentSet::acceptsNewWork(const ServerId &server) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.server->inService)
        return false;
    const bool domainOut = m_domainsOutOfService.contains(found->second.server->failureDomain);
    if (domainOut && m_mechanisms.failureDomainState)
        return false;
    return !m_mechanisms.drainState || !m_leavingHosts.contains(server.value);
}

bool DocumentSet::parseAndApply(const PlatformKey &key, const std::string &content)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                switch (documentKind(key)) {
                case DocumentKind::Configuration: {
                    BOOST_LEAF_AUTO(configuration, parseConfiguration(content));
                    m_configuration =
                            std::make_unique<const Configuration>(std::move(configuration));
                    indexConfiguration();
                    return true;
                }
                case DocumentKind::Snapshots: {
                    const ServiceId service { withoutPrefix(key, kSnapshotsPrefix) };
                    BOOST_LEAF_ASSIGN(m_snapshots[service],
                                      parseServiceSnapshots(service, content));
                    return true;
                }
                case DocumentKind::Members: {
                    const FailureDomainId domain { withoutPrefix(key, kMembersPrefix) };
                    BOOST_LEAF_AUTO(list, parseMemberList(domain, content));
                    m_members[domain] = std::move(list);
                    return true;
                }
                case DocumentKind::Hosts: {
                    BOOST_LEAF_ASSIGN(m_hostList, parseHostList(content));
                    indexHosts();
                    return true;
                }
                case DocumentKind::Quarantine: {
                    BOOST_LEAF_ASSIGN(m_quarantine, parseQuarantineList(content));
                    return true;
                }
                case DocumentKind::Other:
                    break;
                }
                return boost::leaf::new_error(DocumentError { DocumentErrorKind::UnknownReference,
                                                              key.value,
                                                              "the key of a known document" });
            },
            [&](const DocumentError &error) {
                m_lastError = error;
                return false;
            },
            [] { return false; });
}

void DocumentSet::recordVersion(const PlatformKey &key, Revision version)
{
    switch (documentKind(key)) {
    case DocumentKind::Configuration:
        m_configurationVersion = version;
        break;
    case DocumentKind::Hosts:
        m_hostListVersion = version;
        break;
    case DocumentKind::Members:
        m_memberListVersions[{ withoutPrefix(key, kMembersPrefix) }] = version;
        break;
    default:
        break;
    }
}

void DocumentSet::indexConfiguration()
{
    m_servers.clear();
    m_domainsOutOfService.clear();
    for (const FailureDomain &domain : m_configuration->failureDomains) {
        if (!domain.inService)
            m_domainsOutOfService.insert(domain.name);
    }
    for (const Service &service : m_configuration->services) {
        for (const Group &group : service.groups) {
            for (const BackendServer &server : group.servers)
                m_servers[server.name] = ResolvedServer { &service, &group, &server };
        }
    }
}

void DocumentSet::indexHosts()
{
    m_leavingHosts.clear();
    m_listedHosts.clear();
    for (const ListedHost &host : m_hostList->hosts) {
        m_listedHosts.insert(host.name);
        if (host.state == ListedState::Leaving)
            m_leavingHosts.insert(host.name);
    }
}

} // namespace greengagestair
