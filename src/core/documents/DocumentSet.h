#pragma once

#include "core/Interfaces.h"
#include "core/documents/DocumentParsers.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace greengagestair {

/** Kind of a document, told by its key. */
enum class DocumentKind { Configuration, Snapshots, Members, Hosts, Quarantine, Other };

inline constexpr const char *kConfigurationKey = "configuration";
inline constexpr const char *kHostsKey = "hosts";
inline constexpr const char *kQuarantineKey = "quarantine";
inline constexpr const char *kSnapshotsPrefix = "snapshots/";
inline constexpr const char *kMembersPrefix = "members/";

DocumentKind documentKind(const PlatformKey &key);
PlatformKey snapshotsKey(const ServiceId &service);
PlatformKey membersKey(const FailureDomainId &domain);

/** The documents in force, parsed, with the indexes that make look-ups constant-time. */
class DocumentSet
{
public:
    enum class Adoption { Adopted, NotNewer, Malformed };

    explicit DocumentSet(const MechanismSwitches &mechanisms);

    /** Adopts the content if its version is higher than the one held and it parses. */
    Adoption adopt(const PlatformKey &key, Revision version, const std::string &content);

    Revision version(const PlatformKey &key) const;
    /** Highest version that was held or refused as malformed. */
    Revision seenVersion(const PlatformKey &key) const;
    const std::string *content(const PlatformKey &key) const;
    std::vector<DocumentVersion> versions() const;
    const std::optional<DocumentError> &lastError() const { return m_lastError; }

    Revision configurationVersion() const { return m_configurationVersion; }
    Revision hostListVersion() const { return m_hostListVersion; }
    Revision memberListVersion(const FailureDomainId &domain) const;

    const Configuration *configuration() const { return m_configuration.get(); }
    const ServiceSnapshots *snapshots(const ServiceId &service) const;
    const MemberList *members(const FailureDomainId &domain) const;
    const std::map<FailureDomainId, MemberList> &allMembers() const { return m_members; }
    const HostList *hostList() const { return m_hostList ? &*m_hostList : nullptr; }
    /** Whether the host list in force shows the host. */
    bool isOnHostList(const std::string &host) const { return m_listedHosts.contains(host); }
    const QuarantineList &quarantine() const { return m_quarantine; }
    std::optional<ResolvedServer> findServer(const ServerId &server) const;
    bool acceptsNewWork(const ServerId &server) const;

private:
    struct Entry
    {
        Revision version;
        std::string content;
        Revision malformed; ///< highest version refused
    };

    /** Parses and puts in force; nothing is changed when the content is malformed. */
    bool parseAndApply(const PlatformKey &key, const std::string &content);
    void recordVersion(const PlatformKey &key, Revision version);
    void indexConfiguration();
    void indexHosts();

    const MechanismSwitches m_mechanisms;
    std::map<PlatformKey, Entry> m_entries;
    /** Copies of versions in m_entries: modules compare them after every event. */
    Revision m_configurationVersion;
    Revision m_hostListVersion;
    std::map<FailureDomainId, Revision> m_memberListVersions;
    std::optional<DocumentError> m_lastError;
    std::unique_ptr<const Configuration> m_configuration;
    std::unordered_map<ServiceId, ServiceSnapshots> m_snapshots;
    std::map<FailureDomainId, MemberList> m_members;
    std::optional<HostList> m_hostList;
    QuarantineList m_quarantine;
    std::unordered_map<ServerId, ResolvedServer> m_servers;
    std::unordered_set<FailureDomainId> m_domainsOutOfService;
    std::unordered_set<std::string> m_listedHosts;  ///< backend servers and entry hosts
    std::unordered_set<std::string> m_leavingHosts; ///< backend servers and entry hosts
};

} // namespace greengagestair
