#pragma once

#include "greengagestair/Types.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace greengagestair {

/** Identifies one claim of one process. */
struct ClaimToken
{
    HostId host;
    Incarnation incarnation;
    std::uint64_t counter = 0;

    bool operator==(const ClaimToken &) const = default;

    /** Whether both claims are of the same process. */
    bool sameProcess(const ClaimToken &other) const
    {
        return host == other.host && incarnation == other.incarnation;
    }
};

/** What is known of a non-repeatable request. */
enum class LedgerState {
    Claimed,  ///< the holder of the token may have run it
    Done,     ///< it ran; the result is recorded
    Released, ///< it was not sent; it may be claimed anew
    NotRun    ///< it has not run and never will
};

/** One request in a bucket. */
struct LedgerEntry
{
    IdempotencyKey key;
    LedgerState state = LedgerState::Claimed;
    ClaimToken token;
    WallTime time;
    IndexVersion snapshot;      ///< with Done
    std::string body;           ///< with Done
    bool resultOmitted = false; ///< with Done: the result was too large to be recorded
};

/** The value of a ledger bucket cannot be read; it is left as it is. */
struct MalformedLedgerBucket
{
};

/** Content of one ledger bucket in the platform. */
class LedgerBucket
{
public:
    /** Error: MalformedLedgerBucket. */
    static boost::leaf::result<LedgerBucket> parse(const std::string &text);

    std::string serialize() const;

    /** Null if there is no such entry. */
    const LedgerEntry *find(const IdempotencyKey &key) const;

    /** Adds an entry or replaces the one with the same identifier. */
    void put(LedgerEntry entry);

    /** Removes entries whose identifiers no host takes any more. */
    void dropExpired(WallTime now);

    /** Upper bound on the length of the serialized text. */
    std::size_t bytes() const { return m_bytes; }

    /** Upper bound on what an entry adds to the serialized text. */
    static std::size_t entryBytes(const LedgerEntry &entry);

    std::size_t size() const { return m_entries.size(); }

private:
    std::map<IdempotencyKey, LedgerEntry> m_entries;
    std::size_t m_bytes = 64; ///< the frame around the entries
};

} // namespace greengagestair
