#pragma once

#include "greengagestair/Types.h"

#include <chrono>
#include <optional>

namespace greengagestair {

/** An identifier older than this is not claimed any more. */
constexpr Duration kLedgerRetention = std::chrono::hours(1);

/** Entries outlive their identifiers by this, for hosts whose clocks are behind. */
constexpr Duration kLedgerClockSkewMargin = std::chrono::minutes(10);

/** An identifier may be ahead of this host's clock by this. */
constexpr Duration kLedgerFutureMargin = std::chrono::minutes(5);

/** Buckets per service; their number is part of the platform's keys and cannot be changed. */
constexpr unsigned kLedgerBucketsPerService = 64;

/** The time in an identifier `<unix seconds>-<up to 64 characters>`; nothing if it has another
 * form.
 */
std::optional<WallTime> issueTime(const IdempotencyKey &key);

/** The platform key of the bucket that holds the identifier: `ledger/<service>/<bucket>`. */
PlatformKey ledgerBucketKey(const ServiceId &service, const IdempotencyKey &key);

} // namespace greengagestair
