#pragma once

#include "net/Adapters.h"
#include "net/HttpClient.h"

namespace greengagestair {

/** Bound on the body of one answer of a backend server. */
constexpr std::size_t kMaxBackendAnswerBytes = 1'048'576;

/** Speaks the protocol of the backend servers over kept-open connections. A request is sent once at
 * most. All functions are thread-safe and return at once, except stop(). */
class CurlBackendClient : public BackendClient
{
public:
    explicit CurlBackendClient(EventQueue &queue);
    ~CurlBackendClient() override;

    /** Posts exactly one BackendFinished, also after stop(). */
    void send(const SendToBackend &request) override;

    /** Posts nothing; whether the server was reached is not told. */
    void cancel(const CancelBackend &request) override;

    /** Ends what is in flight at once. */
    void stop() override;

private:
    EventQueue &m_queue;
    HttpClient m_loop;
};

} // namespace greengagestair
