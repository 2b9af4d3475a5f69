#pragma once

#include "gateway/ServerEvidence.h"
#include "greengagestair/Types.h"

#include <cstdint>
#include <optional>

namespace greengagestair {

/** Source of the results that all hosts together have seen of a server. */
class EvidenceSource
{
public:
    virtual ~EvidenceSource() = default;

    /**
     * The recent results of the server's process that started at `startedAt` (milliseconds since
     * the Unix epoch), of all hosts including this one; nullopt if nothing valid is known.
     */
    virtual std::optional<ServerEvidence>
    evidenceOf(const ServerId &server, std::uint64_t startedAt, MonotonicTime now) const = 0;
};

} // namespace greengagestair
