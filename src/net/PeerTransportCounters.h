#pragma once

#include <cstdint>

namespace greengagestair {

/** Counts of the peer transport since its start. */
struct PeerTransportCounters
{
    std::uint64_t framesSent = 0;      ///< handed to the operating system
    std::uint64_t framesReceived = 0;  ///< decoded and posted
    std::uint64_t malformedFrames = 0; ///< each closed its connection
    std::uint64_t unknownPayloads = 0; ///< ignored, of a newer build
    std::uint64_t droppedFrames = 0;   ///< connection lost, queue full, too large or stopped
    std::uint64_t reconnects = 0;      ///< connections made to a peer after its first one
    std::uint64_t writes = 0;          ///< each carries one or more frames
};

} // namespace greengagestair
