#pragma once

#include "net/Adapters.h"
#include "net/HttpClient.h"

#include <atomic>
#include <cstddef>
#include <vector>

namespace greengagestair {

/** Bound on the body of one answer of the platform; values are up to 1 MB. */
constexpr std::size_t kMaxPlatformAnswerBytes = 1'048'576;

/** Speaks the platform's protocol. A call is sent once at most; a server that cannot be reached is
 * passed over for the next one. All functions are thread-safe and return at once, except stop(). */
class CurlPlatformClient : public PlatformClient
{
public:
    CurlPlatformClient(std::vector<Endpoint> servers, EventQueue &queue);
    ~CurlPlatformClient() override;

    /** Posts exactly one PlatformFinished, also after stop(). */
    void call(const CallPlatform &request) override;

    /** Ends what is in flight at once. */
    void stop() override;

private:
    struct Attempt;

    void start(Attempt attempt);
    void finish(Attempt attempt, HttpResponse response);

    std::vector<Endpoint> m_servers;
    EventQueue &m_queue;
    std::atomic<std::size_t> m_preferred = 0; ///< index of the server that answered last
    HttpClient m_loop;
};

} // namespace greengagestair
