#pragma once

#include "greengagestair/Configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** A signature is quarantined when it has lost this number of backend servers. */
constexpr std::size_t kMaxLostServers = 2;

/**
 * A change of the document `quarantine`: losses to add and signatures to clear. Quarantine writes
 * it, and applies it again after a conflicting write by another host.
 */
struct QuarantineUpdate
{
    /** Servers that were lost while a part of the signature was in flight. */
    struct Loss
    {
        Signature signature;
        std::vector<ServerId> servers;
    };

    std::vector<Loss> losses;
    std::vector<Signature> cleared; ///< suspects to remove; quarantined ones stay
    WallTime time;                  ///< of the change, for new and changed entries

    /** True if the update leaves the quarantine document as it is, so no write is needed. */
    bool empty() const { return losses.empty() && cleared.empty(); }
    /**
     * Returns the document with this update applied; nothing if the update does not change it.
     * Content that cannot be parsed is replaced, since only entry hosts write this document.
     */
    std::optional<std::string> applyTo(const std::optional<std::string> &current) const;
};

/** Formats a signature as 16 hexadecimal digits. */
std::string toHex(Signature signature);

} // namespace greengagestair
