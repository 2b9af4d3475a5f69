#pragma once

#include "greengagestair/Configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** Backend servers may be lost to one signature up to this number. */
constexpr std::size_t kMaxLostServers = 2;

/** Losses and clearances to be written into the document `quarantine`. */
struct QuarantineUpdate
{
    struct Loss
    {
        Signature signature;
        std::vector<ServerId> servers;
    };

    std::vector<Loss> losses;
    std::vector<Signature> cleared;
    WallTime time;

    bool empty() const { return losses.empty() && cleared.empty(); }
    /**
     * The document with this update; nothing if it already says so. Content that cannot be read is
     * replaced, since only entry hosts write this document.
     */
    std::optional<std::string> applyTo(const std::optional<std::string> &current) const;
};

/** A signature as 16 hexadecimal digits. */
std::string toHex(Signature signature);

} // namespace greengagestair
