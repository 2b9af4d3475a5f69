#pragma once

#include "greengagestair/Types.h"

#include <chrono>
#include <optional>

namespace greengagestair {

/** Identifiers older than this can no longer be claimed. */
constexpr Duration kLedgerRetention = std::chrono::hours(1);

/**
 * Entries are kept for this time after their identifiers expired, because a host whose clock is
 * behind may still accept them.
 */
constexpr Duration kLedgerClockSkewMargin = std::chrono::minutes(10);

/** The time in an identifier may be ahead of this host's clock by at most this. */
constexpr Duration kLedgerFutureMargin = std::chrono::minutes(5);

/**
 * Number of buckets per service. It determines the platform key of each request, so it must not be
 * changed.
 */
constexpr unsigned kLedgerBucketsPerService = 64;

/**
 * The time at which the caller created an identifier of the form
 * `<unix seconds>-<1 to 64 characters>`; nothing if it has another form.
 */
std::optional<WallTime> issueTime(const IdempotencyKey &key);

/** The platform key of the bucket for an identifier: `ledger/<service>/<bucket>`. */
PlatformKey ledgerBucketKey(const ServiceId &service, const IdempotencyKey &key);

} // namespace greengagestair
