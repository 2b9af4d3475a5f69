#pragma once

#include "http/ResponseObserver.h"
#include "net/Adapters.h"
#include "net/HttpClient.h"

namespace greengagestair {

/** Largest response body that is accepted from a backend server. */
constexpr std::size_t kMaxBackendAnswerBytes = 1'048'576;

/**
 * BackendClient over HTTP with libcurl. It reuses connections and sends each request at most once,
 * because a backend request need not be repeatable. All functions are thread-safe; all except
 * stop() return without blocking.
 */
class CurlBackendClient : public BackendClient
{
public:
    /**
     * Results are posted to `queue`. `observer`, if any, is told of malformed responses on the
     * client's thread. Both must outlive this object.
     */
    explicit CurlBackendClient(EventQueue &queue, ResponseObserver *observer = nullptr);
    ~CurlBackendClient() override;

    /** Starts a request. Exactly one BackendFinished is posted for it, also after stop(). */
    void send(const SendToBackend &request) override;

    /** Sends a cancellation. Nothing is posted, and a failure to deliver it is not reported. */
    void cancel(const CancelBackend &request) override;

    /** Lowers the bound on the received bytes of all responses in progress. */
    void setMaxHeldBytes(std::size_t bytes) { m_client.setMaxHeldBytes(bytes); }
    /** Received bytes of all responses in progress. */
    std::size_t heldBytes() const { return m_client.heldBytes(); }

    /** Aborts all requests in flight and joins the client's thread. */
    void stop() override;

private:
    EventQueue &m_queue;
    ResponseObserver *m_observer;
    HttpClient m_client;
};

} // namespace greengagestair
