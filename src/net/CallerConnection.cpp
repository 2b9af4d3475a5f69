#include "net/CallerConnection.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace greengagestair {

CallerConnection::CallerConnection(const std::shared_ptr<Pistache::Tcp::Peer> &connectedPeer,
                                   Pistache::Tcp::Transport *usedTransport, Time now)
    : peer(connectedPeer)
    , transport(usedTransport)
    , stateSince(now)
{
}

void CallerConnection::join(CallerAccount &account, OnShortage onShortage, Time now)
{
    m_onShortage = std::move(onShortage);
    m_share.emplace(account, static_cast<AccountedCaller &>(*this), now);
}

CallerStage CallerConnection::stage() const
{
    if (hasPendingRequest)
        return CallerStage::InProgress;
    if (writesInProgress > 0)
        return CallerStage::Sending;
    if (isClosing)
        return CallerStage::InProgress;
    if (!received.empty())
        return CallerStage::Receiving;
    return hasServed ? CallerStage::Idle : CallerStage::New;
}

void CallerConnection::updateShare(Time now)
{
    if (!m_share)
        return;
    const std::size_t unsent = unsentBytes;
    m_share->setStage(stage(), now);
    m_share->hold(HeldKind::Unsent, unsent, now);
    m_share->hold(HeldKind::InProgress, hasPendingRequest ? requestBytes : 0, now);
    m_share->hold(HeldKind::Incomplete, received.empty() ? 0 : received.capacity(), now);
    m_share->addProgress(received.size() - std::min(received.size(), m_receivedBytes), now);
    m_share->addProgress(m_unsentBytes - std::min(m_unsentBytes, unsent), now);
    m_receivedBytes = received.size();
    m_unsentBytes = unsent;
}

void CallerConnection::shutDown(int how) const
{
    if (const auto connected = peer.lock())
        ::shutdown(connected->fd(), how);
}

void CallerConnection::endForShortage(ShortageReason /*reason*/)
{
    m_onShortage();
    leave();
}

} // namespace greengagestair
