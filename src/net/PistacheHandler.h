#pragma once

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace greengagestair {

using PeerPointer = std::shared_ptr<Pistache::Tcp::Peer>;

/** Forwards Pistache's callbacks to the server. Each of Pistache's threads has its own copy. */
class RequestHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(RequestHandler)

    explicit RequestHandler(
            std::function<void(const PeerPointer &, Pistache::Tcp::Transport *)> connected,
            std::function<void(std::string_view, const PeerPointer &)> received,
            std::function<void(const PeerPointer &)> disconnected)
        : m_connected(std::move(connected))
        , m_received(std::move(received))
        , m_disconnected(std::move(disconnected))
    {
    }

    void onRequest(const Pistache::Http::Request & /*request*/,
                   Pistache::Http::ResponseWriter /*response*/) override
    {
        // Not used: requests are extracted in onInput, so that each refusal has a reason.
    }

    void onDisconnection(const PeerPointer &peer) override { m_disconnected(peer); }

private:
    void onConnection(const PeerPointer &peer) override
    {
        peer->putData(ParserData,
                      std::make_shared<Pistache::Http::RequestParser>(getMaxRequestSize()));
        m_connected(peer, transport());
    }

    void onInput(const char *buffer, std::size_t length, const PeerPointer &peer) override
    {
        m_received({ buffer, length }, peer);
    }

    std::function<void(const PeerPointer &, Pistache::Tcp::Transport *)> m_connected;
    std::function<void(std::string_view, const PeerPointer &)> m_received;
    std::function<void(const PeerPointer &)> m_disconnected;
};

} // namespace greengagestair
