#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/observations/RecentEvidence.h"

#include <array>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Adds up what the hosts of a failure domain report of servers, and summarises the servers whose
 * state deviates from the rest of their service. The collector of each failure domain has one; the
 * collectors exchange summaries of their own domains.
 *
 * The reports of a host count in one of three groups, chosen by the host's name. A group that sees
 * a server in a worse state than both others counts as the second worst, so a single host with
 * wrong reports does not decide. Memory: about 400 bytes for each server with recent results.
 */
class ObservationCollector
{
public:
    ObservationCollector(const BackendDirectory &directory, FailureDomainId ownDomain);

    /** Sets the failure domain of this host. */
    void setOwnDomain(const FailureDomainId &domain) { m_ownDomain = domain; }
    /** Adds a report of a host of the own failure domain. */
    void addReport(const HostId &sender, const std::vector<ServerObservation> &observations,
                   MonotonicTime now);
    /** Replaces what is known from another failure domain about the servers in its summary. */
    void addSummary(const FailureDomainId &sender,
                    const std::vector<ServerObservation> &observations, MonotonicTime now);

    /**
     * The servers that deviate or did so a short time ago, the most deviating first, by the
     * reports of the own failure domain and the summaries of the others. For the hosts of the own
     * failure domain.
     */
    std::vector<ServerObservation> summaryForHosts(std::size_t limit, MonotonicTime now);
    /** The same by the reports of the own failure domain only; for other collectors. */
    std::vector<ServerObservation> summaryForCollectors(std::size_t limit, MonotonicTime now);

    /** Forgets servers without recent results. */
    void forgetOld(MonotonicTime now);
    /** Number of servers with recent results. */
    std::size_t size() const { return m_records.size(); }

private:
    static constexpr std::size_t kGroups = 3;

    struct ForeignEvidence
    {
        ServerEvidence evidence;
        MonotonicTime receivedAt;
    };
    struct Record
    {
        std::uint64_t startedAt = 0;
        std::array<RecentEvidence, kGroups> groups;
        std::map<FailureDomainId, ForeignEvidence> foreign;
        MonotonicTime listedUntil; ///< the server stays in summaries for hosts until then
        MonotonicTime lastAdded;
    };
    struct Row
    {
        const Backend *backend;
        Record *record;
        ServerEvidence evidence;
        Duration deviation;
    };
    /** What the servers of a service are compared with; both lists are sorted. */
    struct ServiceState
    {
        std::vector<Duration> losses; ///< of all servers; zero without results
        std::vector<Duration> times;  ///< mean times of the servers with answers
    };

    /** The record of the server's present process; null if the observation is of another one. */
    Record *recordFor(const ServerObservation &observation, MonotonicTime now);
    static ServerEvidence ownEvidence(const Record &record, MonotonicTime now);
    ServerEvidence jointEvidence(const Record &record, const Backend &backend,
                                 MonotonicTime now) const;
    std::vector<Row> rows(bool isJoint, MonotonicTime now);
    std::unordered_map<ServiceId, ServiceState> statesOf(const std::vector<Row> &rows) const;
    static Duration deviation(const Row &row, const ServiceState &service);
    std::vector<ServerObservation> summary(bool isJoint, std::size_t limit, MonotonicTime now);

    const BackendDirectory &m_directory;
    FailureDomainId m_ownDomain;
    std::unordered_map<ServerId, Record> m_records;
};

} // namespace greengagestair
