#pragma once

#include "greengagestair/Messages.h"

#include <map>
#include <optional>
#include <utility>

namespace greengagestair {

/** Share of a server's limit that is issued as permits. */
inline constexpr double kIssuedShare = 0.95;
/** Time for which a permit can be used, from the moment at which it was asked for. */
inline constexpr Duration kPermitValidity = std::chrono::milliseconds(500);

/**
 * Issues permits for requests to servers that have named a limit, to all entry hosts that ask this
 * one. Permits accrue at the rate of the limit and are handed out whole, so the requests in any
 * span stay within the limit of that span plus kPermitValidity and a few saved permits, however
 * many hosts there are and however the load is spread over them.
 */
class PermitIssuer
{
public:
    /**
     * Takes over the sender's statement if it is the newest one. Returns true if the server thereby
     * has a limit, another limit, or none any more.
     */
    bool addStatement(const PermitRequest &request, MonotonicTime now);
    /**
     * Answers a request whose statement was added. Nothing accrues before `since`, from when this
     * host issues the permits of the server.
     */
    PermitGrant issue(const PermitRequest &request, MonotonicTime since, MonotonicTime now);
    /** Number of servers that permits were asked for in the last minutes. */
    std::size_t servers() const { return m_accounts.size(); }

private:
    /** What is known of one process of a server. */
    struct Account
    {
        LimitStatement statement; ///< its age is not used
        std::optional<MonotonicTime> statedAt;
        double permits = 0;
        MonotonicTime accruedAt;
    };

    Account &accountOf(const PermitRequest &request, MonotonicTime now);
    void forgetUnused(MonotonicTime now);

    std::map<std::pair<ServerId, std::uint64_t>, Account> m_accounts; ///< by start of the process
    MonotonicTime m_nextCleanUp;
};

} // namespace greengagestair
