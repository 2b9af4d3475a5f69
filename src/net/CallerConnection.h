#pragma once

#include "greengagestair/Types.h"
#include "http/CallerAccount.h"

#include <pistache/peer.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace greengagestair {

/**
 * A caller's connection to HttpFrontEnd. Guarded by the mutex of the front end, except
 * writesInProgress and unsentBytes, which are atomic.
 */
class CallerConnection : private AccountedCaller
{
public:
    using Time = CallerAccount::Time;
    /** Ends a connection to relieve the process; called from within CallerAccount. */
    using OnShortage = std::function<void()>;

    CallerConnection(const std::shared_ptr<Pistache::Tcp::Peer> &connectedPeer,
                     Pistache::Tcp::Transport *usedTransport, Time now);

    /** Adds the connection to the account, which must outlive it or the call of leave(). */
    void join(CallerAccount &account, OnShortage onShortage, Time now);
    /** Removes the connection from the account. */
    void leave() { m_share.reset(); }
    /** Tells the account what the connection holds now. */
    void updateShare(Time now);
    /** Shuts down one or both directions of the socket; see shutdown(2). */
    void shutDown(int how) const;

    std::weak_ptr<Pistache::Tcp::Peer> peer;
    Pistache::Tcp::Transport *transport = nullptr;
    std::string received;           ///< bytes of the request that is being received
    Time stateSince;                ///< start of the interval to which a timeout applies
    CallerId caller;                ///< of the request in progress
    std::size_t requestBytes = 0;   ///< of the request in progress, with its copies
    bool hasPendingRequest = false; ///< a request was received and not answered yet
    bool hasServed = false;         ///< a request was received completely
    bool sentContinue = false;      ///< "100 Continue" was sent for this request
    bool closesAfterAnswer = false; ///< the next answer is the last one
    bool isClosing = false;         ///< no request is accepted any more; input is ignored
    bool closesAtOnce = false;      ///< the last answer is followed by the end of both directions
    std::atomic<int> writesInProgress = 0;
    std::atomic<std::size_t> unsentBytes = 0; ///< of the writes in progress

private:
    void endForShortage(ShortageReason reason) override;
    /** Pistache cannot stop reading from single connections, so none is ever paused. */
    void resumeReading() override { }
    CallerStage stage() const;

    OnShortage m_onShortage;
    std::optional<CallerShare> m_share;
    std::size_t m_receivedBytes = 0; ///< at the last update
    std::size_t m_unsentBytes = 0;   ///< at the last update
};

} // namespace greengagestair
