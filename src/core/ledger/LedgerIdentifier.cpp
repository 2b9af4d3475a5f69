#include "core/ledger/LedgerIdentifier.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>

namespace greengagestair {

/** Maximum length of the part of an identifier after the dash, which the caller chooses. */
static constexpr std::size_t kMaxSuffixCharacters = 64;

/** A Unix time with more digits is thousands of years in the future. */
static constexpr std::size_t kMaxSecondsDigits = 11;

std::optional<WallTime> issueTime(const IdempotencyKey &key)
{
    const std::string &text = key.value;
    const std::size_t dash = text.find('-');
    if (dash == std::string::npos || dash > kMaxSecondsDigits)
        return std::nullopt;
    const std::size_t suffixLength = text.size() - dash - 1;
    if (suffixLength == 0 || suffixLength > kMaxSuffixCharacters)
        return std::nullopt;
    std::uint64_t seconds = 0;
    const char *end = text.data() + dash;
    const auto [stop, error] = std::from_chars(text.data(), end, seconds);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return WallTime(std::chrono::seconds(seconds));
}

PlatformKey ledgerBucketKey(const ServiceId &service, const IdempotencyKey &key)
{
    const std::uint64_t hash = XXH64(key.value.data(), key.value.size(), 0);
    return { "ledger/" + service.value + "/" + std::to_string(hash % kLedgerBucketsPerService) };
}

} // namespace greengagestair
