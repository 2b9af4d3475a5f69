#pragma once

#include "greengagestair/Types.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace greengagestair {

/** Identifies one claim by one process, across all hosts and restarts. */
struct ClaimToken
{
    HostId host;
    Incarnation incarnation;
    std::uint64_t counter = 0; ///< number of the claim within its process

    bool operator==(const ClaimToken &) const = default;

    /** Whether both claims were made by the same process. */
    bool sameProcess(const ClaimToken &other) const
    {
        return host == other.host && incarnation == other.incarnation;
    }
};

/** State of a non-repeatable request, as recorded in the platform's key-value store. */
enum class LedgerState {
    Claimed,  ///< the process that claimed the request may have run it
    Done,     ///< the request ran; its result is recorded, unless it was too large
    Released, ///< the request was not sent and may be claimed again
    NotRun    ///< the request has not run and will never run
};

/** The record of one request in a bucket. */
struct LedgerEntry
{
    IdempotencyKey key;
    LedgerState state = LedgerState::Claimed;
    ClaimToken token;      ///< claim that last changed the entry; only its process if counter is 0
    WallTime time;         ///< when the entry was last changed, by the writing host's clock
    IndexVersion snapshot; ///< index version that the request used; set in state Done
    std::string body;      ///< the recorded result; set in state Done
    bool resultOmitted = false; ///< in state Done: the result was too large to be recorded
};

/** Error: the value of a ledger bucket cannot be parsed. Such a value is never overwritten. */
struct MalformedLedgerBucket
{
};

/**
 * Content of one ledger bucket: the entries of all requests whose identifiers hash to it.
 * RequestLedger reads it from the platform, changes it in memory and writes it back as JSON text.
 */
class LedgerBucket
{
public:
    /** Parses the text of a platform value. Error: MalformedLedgerBucket. */
    static boost::leaf::result<LedgerBucket> parse(const std::string &text);

    /** The JSON text that parse() reads. */
    std::string serialize() const;

    /** The entry with this identifier; null if there is none. */
    const LedgerEntry *find(const IdempotencyKey &key) const;

    /** Adds an entry or replaces the one with the same identifier. */
    void put(LedgerEntry entry);

    /** Removes the entries whose identifiers are too old to be claimed by any host. */
    void dropExpired(WallTime now);

    /** Upper bound on the length of the serialized text, in bytes. */
    std::size_t maxSerializedBytes() const { return m_maxSerializedBytes; }

    /** Upper bound on the number of bytes that an entry adds to the serialized text. */
    static std::size_t maxEntryBytes(const LedgerEntry &entry);

    /** Number of entries. */
    std::size_t size() const { return m_entries.size(); }

private:
    std::map<IdempotencyKey, LedgerEntry> m_entries;
    std::size_t m_maxSerializedBytes = 64; ///< initially for the text that encloses the entries
};

} // namespace greengagestair
