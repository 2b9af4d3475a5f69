#pragma once

#include "gateway/ServerEvidence.h"
#include "greengagestair/Types.h"

#include <limits>
#include <optional>

namespace greengagestair {

/** Why a server gets its requests step by step. */
enum class ReturnReason {
    NewProcess,  ///< its process is new to this host
    Unreachable, ///< connections to it were lost or refused
    Failing,     ///< most of its responses were failures
    Refusing     ///< it refused most requests
};

/** Result of one attempt, as far as it concerns the pace of the server. */
enum class PaceResult {
    Answer,
    Refusal,    ///< the server states that it did not run the request
    Failure,    ///< an error or an invalid response
    Lost,       ///< the connection ended after bytes of the request may have arrived
    Unreachable ///< no connection could be established
};

/** What a round of results says about the share of a returning server. */
enum class PaceVerdict { Raise, Hold, LowerSlow, LowerBad };

/**
 * Judges the results of a returning server. `othersTime` is the usual response time of the other
 * servers of its service, if it is known. Requires at least one result.
 */
PaceVerdict judgePace(const ServerEvidence &results, std::optional<Duration> othersTime);

/**
 * The share of its usual requests that one backend server may get from this host. A server is
 * steady, with share 1, or returning: then its share starts small and is adjusted after each round
 * of results until it reaches 1. Requests are admitted by credits, without random draws.
 */
class ServerPace
{
public:
    bool isReturning() const { return m_reason.has_value(); }
    /** Why the server is returning; nullopt if it is steady. */
    std::optional<ReturnReason> reason() const { return m_reason; }
    /** Share of the requests that the server would otherwise get, above 0 and at most 1. */
    double share() const { return m_share; }

    /** Makes the server returning. It is tried at `firstProbeAt` even without credit. */
    void beginReturn(ReturnReason reason, MonotonicTime now, MonotonicTime firstProbeAt);

    /**
     * Records a result of a request sent at `sentAt`. Returns the reason if a steady server has to
     * become returning.
     */
    std::optional<ReturnReason> addResult(PaceResult result, MonotonicTime sentAt,
                                          MonotonicTime now);
    /** Records that this host stopped waiting for a response; counts as slow if it was. */
    void addAbandoned(MonotonicTime sentAt, MonotonicTime now);

    /** True if the results since the last change of the share suffice for a verdict. */
    bool isRoundComplete(MonotonicTime now) const;
    /** Adjusts the share by the results of the round and begins the next one. */
    PaceVerdict endRound(std::optional<Duration> othersTime, MonotonicTime now);
    /** Adjusts the share by results of all hosts, at most once per kSharedRoundTime. */
    std::optional<PaceVerdict> applyShared(const ServerEvidence &evidence,
                                           std::optional<Duration> othersTime, MonotonicTime now);

    /** Adds credit; a request to a returning server takes 1. */
    void addCredit(double credit);
    bool hasCredit() const { return m_credit >= 1; }
    /** Time from which the server gets a request even without credit. */
    MonotonicTime nextProbeAt() const { return m_nextProbeAt; }
    /** Records that a request is sent; the next one is due after `probeInterval` at the latest. */
    void addStart(MonotonicTime now, Duration probeInterval);

    /** Moving average of the response times; nullopt without answers in the last 10 s. */
    std::optional<Duration> usualTime(MonotonicTime now) const;

private:
    void addTime(Duration time, MonotonicTime now);
    std::optional<ReturnReason> reasonToReturn() const;
    void addToRound(PaceResult result, MonotonicTime sentAt, MonotonicTime now);
    void apply(PaceVerdict verdict, const ServerEvidence &results, MonotonicTime now);
    void raise(MonotonicTime now);
    void lowerSlow(const ServerEvidence &results, MonotonicTime now);
    void beginRound(MonotonicTime now);
    void setSteady();

    std::optional<ReturnReason> m_reason;
    double m_share = 1;
    double m_credit = 0;
    MonotonicTime m_nextProbeAt;

    ServerEvidence m_round;       ///< results of requests sent since the last change of the share
    MonotonicTime m_roundBeganAt; ///< time of the last change of the share
    /** Share at which results were last bad; growth is slower near and above it. */
    double m_badShareOfLoad = std::numeric_limits<double>::infinity();
    std::optional<MonotonicTime> m_slowSince; ///< slow at the lowest share for slow servers
    Duration m_unloadedTime {};               ///< response time that less load does not improve

    double m_refusalShare = 0; ///< moving average over results, 0 to 1
    double m_failureShare = 0; ///< moving average over results, 0 to 1
    int m_lossesInRow = 0;     ///< lost connections; one that was refused counts as two
    Duration m_usualTime {};
    std::optional<MonotonicTime> m_timeUpdatedAt;
};

} // namespace greengagestair
