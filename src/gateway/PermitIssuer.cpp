#include "gateway/PermitIssuer.h"

#include <algorithm>
#include <cmath>

namespace greengagestair {

/** The permits of this time can be saved, or one permit if that is more. */
static constexpr std::chrono::duration<double> kSavedTime(0.25);
/** Lowest rate, per second, so that it is noticed when a limit of zero ends. */
static constexpr double kMinRate = 0.25;
/** One host gets at most this share of the saved permits at a time. */
static constexpr double kMaxShareOfHost = 0.5;
static constexpr Duration kMinPause = std::chrono::milliseconds(20);
static constexpr Duration kMaxPause = std::chrono::milliseconds(250);
/** An account without requests for this time is dropped. */
static constexpr Duration kUnusedTime = std::chrono::minutes(2);
/** Tolerance for rounding errors of sums. */
static constexpr double kTolerance = 1e-9;

PermitIssuer::Account &PermitIssuer::accountOf(const PermitRequest &request, MonotonicTime now)
{
    const auto [found, isNew] = m_accounts.try_emplace({ request.server, request.serverStartedAt });
    if (isNew)
        found->second.accruedAt = now;
    return found->second;
}

bool PermitIssuer::addStatement(const PermitRequest &request, MonotonicTime now)
{
    forgetUnused(now);
    Account &account = accountOf(request, now);
    const LimitStatement former = account.statement;
    const MonotonicTime statedAt = now - request.statement.age;
    if (account.statedAt && statedAt <= *account.statedAt)
        return false;
    account.statement = request.statement;
    account.statedAt = statedAt;
    return former.isLimited != request.statement.isLimited
            || former.perSecond != request.statement.perSecond;
}

PermitGrant PermitIssuer::issue(const PermitRequest &request, MonotonicTime since,
                                MonotonicTime now)
{
    Account &account = accountOf(request, now);
    account.accruedAt = std::max(account.accruedAt, since);
    PermitGrant grant;
    grant.id = request.id;
    grant.server = request.server;
    grant.serverStartedAt = request.serverStartedAt;
    grant.statement = account.statement;
    grant.statement.age = account.statedAt ? now - *account.statedAt : Duration(0);

    const double rate = kIssuedShare * std::max(account.statement.perSecond, kMinRate);
    const std::chrono::duration<double> time = std::max(now - account.accruedAt, Duration(0));
    account.permits = std::min(account.permits + rate * time.count(),
                               std::max(rate * kSavedTime.count(), 1.0));
    account.accruedAt = std::max(account.accruedAt, now);
    const double available = std::floor(account.permits + kTolerance);
    const double most = std::max(std::floor(available * kMaxShareOfHost), std::min(available, 1.0));
    grant.permits =
            static_cast<std::uint32_t>(std::min(most, static_cast<double>(request.permits)));
    account.permits -= grant.permits;
    if (grant.permits == 0) {
        const std::chrono::duration<double> untilNext((1 - account.permits) / rate);
        grant.pause =
                std::clamp(std::chrono::duration_cast<Duration>(untilNext), kMinPause, kMaxPause);
    }
    return grant;
}

void PermitIssuer::forgetUnused(MonotonicTime now)
{
    if (now < m_nextCleanUp)
        return;
    m_nextCleanUp = now + kUnusedTime;
    std::erase_if(m_accounts, [now](const auto &account) {
        return account.second.accruedAt + kUnusedTime < now;
    });
}

} // namespace greengagestair
