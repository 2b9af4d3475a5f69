#pragma once

#include "core/Interfaces.h"
#include "core/documents/DocumentParsers.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace greengagestair {

/** Kind of a document, determined by its key. */
enum class DocumentKind { Configuration, Snapshots, Members, Hosts, Quarantine, Other };

/** Platform key of the configuration. */
inline constexpr const char *kConfigurationKey = "configuration";
/** Platform key of the host list. */
inline constexpr const char *kHostsKey = "hosts";
/** Platform key of the quarantine list. */
inline constexpr const char *kQuarantineKey = "quarantine";
/** Prefix of the platform key of a snapshot document; the service's name follows. */
inline constexpr const char *kSnapshotsPrefix = "snapshots/";
/** Prefix of the platform key of a member list; the failure domain's name follows. */
inline constexpr const char *kMembersPrefix = "members/";

/** Returns the kind of the document with this key; Other if no document has this key. */
DocumentKind documentKind(const PlatformKey &key);
/** Returns the key of a service's snapshot document. */
PlatformKey snapshotsKey(const ServiceId &service);
/** Returns the key of the member list of a failure domain's cell. */
PlatformKey membersKey(const FailureDomainId &domain);

/**
 * Holds the documents in force in parsed form, with indexes for constant-time lookups.
 * DocumentStore fills it. An older or malformed version never replaces the one in force.
 */
class DocumentSet
{
public:
    /** Result of adopt(). */
    enum class Adoption { Adopted, NotNewer, Malformed };

    explicit DocumentSet(const MechanismSwitches &mechanisms);

    /** Puts the content in force if its version is higher than the one held and it can be parsed.
     * The error of malformed content is kept in lastError(). */
    Adoption adopt(const PlatformKey &key, Revision version, const std::string &content);

    /** Version in force; 0 if the document is not held. */
    Revision version(const PlatformKey &key) const;
    /** Highest version that was put in force or rejected as malformed. */
    Revision seenVersion(const PlatformKey &key) const;
    /** Content in force, as received; null if the document is not held. */
    const std::string *content(const PlatformKey &key) const;
    /** Keys and versions of all documents held. */
    std::vector<DocumentVersion> versions() const;
    /** Error of the latest malformed content, if there was any. */
    const std::optional<DocumentError> &lastError() const { return m_lastError; }

    // DocumentStore uses the functions below to implement those of the same name in DocumentView,
    // which describes them.

    Revision configurationVersion() const { return m_configurationVersion; }
    Revision hostListVersion() const { return m_hostListVersion; }
    Revision memberListVersion(const FailureDomainId &domain) const;

    const Configuration *configuration() const { return m_configuration.get(); }
    const ServiceSnapshots *snapshots(const ServiceId &service) const;
    const MemberList *members(const FailureDomainId &domain) const;
    /** Member lists of all cells. */
    const std::map<FailureDomainId, MemberList> &allMembers() const { return m_members; }
    const HostList *hostList() const { return m_hostList ? &*m_hostList : nullptr; }
    /** Whether the host list in force contains the entry host or backend server. */
    bool isOnHostList(const std::string &host) const { return m_listedHosts.contains(host); }
    const QuarantineList &quarantine() const { return m_quarantine; }
    std::optional<ResolvedServer> findServer(const ServerId &server) const;
    bool acceptsNewWork(const ServerId &server) const;

private:
    /** One document, as received. */
    struct Entry
    {
        Revision version;
        std::string content;
        Revision malformed; ///< highest version that was rejected as malformed
    };

    /** Parses the content and puts it in force. Returns false and changes only m_lastError if the
     * content is malformed. */
    bool parseAndApply(const PlatformKey &key, const std::string &content);
    void recordVersion(const PlatformKey &key, Revision version);
    void indexConfiguration();
    void indexHosts();

    const MechanismSwitches m_mechanisms;
    std::map<PlatformKey, Entry> m_entries;
    // Copies of versions in m_entries, which spare a lookup by key: modules compare these versions
    // after every event.
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
    std::unordered_set<std::string> m_listedHosts;  ///< entry hosts and backend servers
    std::unordered_set<std::string> m_leavingHosts; ///< entry hosts and backend servers
};

} // namespace greengagestair
