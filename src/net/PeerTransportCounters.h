#pragma once

#include <cstdint>

namespace greengagestair {

/** Counters of TcpPeerTransport since its construction, over all peers. */
struct PeerTransportCounters
{
    std::uint64_t framesSent = 0;      ///< written completely to a socket
    std::uint64_t framesReceived = 0;  ///< decoded and posted as PeerReceived
    std::uint64_t malformedFrames = 0; ///< each one closed its connection
    std::uint64_t unknownPayloads = 0; ///< ignored frames with a payload type of a newer build
    std::uint64_t droppedFrames = 0; ///< not sent: connection lost, queue full, too large, stopped
    std::uint64_t reconnects = 0;    ///< connections to a peer after the first one
    std::uint64_t writes = 0;        ///< write operations; each carries one or more frames
};

} // namespace greengagestair
