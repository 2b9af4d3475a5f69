#pragma once

#include "http/ResponseObserver.h"
#include "net/Adapters.h"
#include "net/HttpClient.h"

#include <atomic>
#include <cstddef>
#include <vector>

namespace greengagestair {

/** Largest response body that is accepted from the platform, whose values are up to 1 MB. */
constexpr std::size_t kMaxPlatformAnswerBytes = 1'048'576;

/**
 * PlatformClient over HTTP with libcurl. A call is sent at most once; if a connection to a server
 * fails before anything was sent, the next server is tried. All functions are thread-safe; all
 * except stop() return without blocking.
 */
class CurlPlatformClient : public PlatformClient
{
public:
    /**
     * Results are posted to `queue`. `observer`, if any, is told of malformed responses on the
     * client's thread. Both must outlive this object.
     */
    CurlPlatformClient(std::vector<Endpoint> servers, EventQueue &queue,
                       ResponseObserver *observer = nullptr);
    ~CurlPlatformClient() override;

    /** Starts a call. Exactly one PlatformFinished is posted for it, also after stop(). */
    void call(const CallPlatform &request) override;

    /** Aborts all calls in flight and joins the client's thread. */
    void stop() override;

private:
    struct Attempt;

    void start(Attempt attempt);
    void finish(Attempt attempt, HttpResponse response);

    std::vector<Endpoint> m_servers;
    EventQueue &m_queue;
    ResponseObserver *m_observer;
    std::atomic<std::size_t> m_preferredServer = 0; ///< index of the server to try first
    HttpClient m_client;
};

} // namespace greengagestair
