#pragma once

#include "core/CounterSet.h"
#include "gateway/BackendDirectory.h"
#include "gateway/GatewayEffect.h"
#include "gateway/GatewayOptions.h"
#include "gateway/pace/EvidenceSource.h"
#include "gateway/pace/ServerPace.h"

#include <algorithm>
#include <vector>

namespace greengagestair {

/** Text of the reason for log lines and metrics. */
const char *toText(ReturnReason reason);

/**
 * Applies ServerPace to the servers of each service: divides the demand, compares response times
 * and decides whether a returning server may get a request. It lowers what a server may get and
 * never raises it beyond the other limits; BackendSelector asks it after these.
 */
class ReturnPacing
{
public:
    ReturnPacing(const SelectorOptions &options, const BackendDirectory &directory);

    /** Turns the pacing on or off. While it is off, all servers count as steady. */
    void setEnabled(bool isEnabled);
    /** Sets the number of entry hosts, whose probes of a server add up. */
    void setHostCount(std::size_t hosts) { m_hostCount = std::max<std::size_t>(hosts, 1); }
    /** Sets the results of all hosts, or null: own results only. The source has to stay valid. */
    void setEvidenceSource(const EvidenceSource *source) { m_evidence = source; }

    /** Records that a process of a server has become known after the start of this host. */
    void addProcess(Backend &backend, MonotonicTime now);
    /** Records that a connection to the server was refused without a request. */
    void addConnectionLoss(Backend &backend, MonotonicTime now);
    /** Records that a request is sent to the server. */
    void addStart(Backend &backend, MonotonicTime now);
    /** Records the result of a request sent at `sentAt`. */
    void addResult(Backend &backend, PaceResult result, MonotonicTime sentAt, MonotonicTime now);
    /** Records that this host stopped waiting for the response to a request. */
    void addAbandoned(Backend &backend, MonotonicTime sentAt, MonotonicTime now);

    /**
     * Records a request for a service and divides it over the usable servers: the returning ones
     * get credit for their share of it.
     */
    void addDemand(const std::vector<Backend *> &usable, MonotonicTime now);
    /** True if the pace allows a request to the server now. */
    bool admits(const Backend &backend, MonotonicTime now) const;
    /** True if the server has waited so long for a request that it gets one without credit. */
    bool isProbeDue(const Backend &backend, MonotonicTime now) const;
    /** Appends the log lines since the last call: servers that became returning or steady. */
    void takeLogRecords(GatewayEffects &effects);
    /** Appends the metrics. */
    void appendCounters(std::vector<Counter> &counters) const;

private:
    Duration probeInterval() const;
    void beginReturn(Backend &backend, ReturnReason reason, MonotonicTime now);
    /** Median of the usual response times of the other servers, of the steady ones if possible. */
    std::optional<Duration> othersTime(const Backend &backend, MonotonicTime now) const;
    void endRoundIfComplete(Backend &backend, MonotonicTime now);
    void applyShared(Backend &backend, MonotonicTime now);
    void record(const Backend &backend, PaceVerdict verdict);

    const SelectorOptions &m_options;
    const BackendDirectory &m_directory;
    const EvidenceSource *m_evidence = nullptr;
    bool m_isEnabled = false;
    std::size_t m_hostCount = 1;
    std::vector<LogRecord> m_log;
    CounterSet m_counters;
};

} // namespace greengagestair
