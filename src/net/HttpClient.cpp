#include "net/HttpClient.h"

#include "core/Assert.h"
#include "net/HttpTransfer.h"

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace greengagestair {

/** Limit on the idle connections to all servers together. An entry host owns at most a few dozen
 * backend servers, each with a handful of connections. */
static constexpr long kMaxIdleConnections = 1024;

/** Poll timeout. New requests and socket events wake the thread up earlier; this only limits the
 * delay if a wake-up is missed. */
static constexpr std::chrono::milliseconds kPollTimeout(1000);

MonotonicTime steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return MonotonicTime(std::chrono::duration_cast<Duration>(sinceEpoch));
}

MonotonicTime steadyDeadline(Duration timeout)
{
    return steadyNow() + std::min<Duration>(timeout, std::chrono::hours(24));
}

static void initializeCurl()
{
    static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
    GREENGAGESTAIR_ASSERT(kResult == CURLE_OK);
}

/** Implementation of HttpClient: a libcurl multi handle and the thread that runs it. */
class HttpClient::State
{
public:
    State()
        : m_multi(curl_multi_init())
    {
        GREENGAGESTAIR_ASSERT(m_multi);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
        m_thread = std::thread([this] { run(); });
    }

    ~State()
    {
        stop();
        curl_multi_cleanup(m_multi);
    }

    ResponseAccount &account() { return m_account; }

    void start(std::unique_ptr<HttpTransfer> transfer)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isStopping) {
                m_queued.push_back(std::move(transfer));
                curl_multi_wakeup(m_multi);
                return;
            }
        }
        transfer->abort();
    }

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        curl_multi_wakeup(m_multi);
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void run()
    {
        while (startQueued()) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            finishCompleted();
            const auto wait = static_cast<int>(kPollTimeout.count());
            curl_multi_poll(m_multi, nullptr, 0, wait, nullptr);
        }
        abortAll();
    }

    /** Starts the queued requests; returns false, after aborting them, if stop() was called. */
    bool startQueued()
    {
        std::vector<std::unique_ptr<HttpTransfer>> queued;
        bool isStopping = false;
        {
            const std::lock_guard lock(m_mutex);
            queued.swap(m_queued);
            isStopping = m_isStopping;
        }
        for (auto &transfer : queued) {
            if (isStopping || !transfer->prepare())
                transfer->abort();
            else
                add(std::move(transfer));
        }
        return !isStopping;
    }

    void add(std::unique_ptr<HttpTransfer> transfer)
    {
        CURL *handle = transfer->handle();
        if (curl_multi_add_handle(m_multi, handle) != CURLM_OK) {
            transfer->abort();
            return;
        }
        m_active.emplace(handle, std::move(transfer));
    }

    void finishCompleted()
    {
        int remaining = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURL *handle = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto transfer = remove(handle);
            transfer->finish(code);
        }
    }

    std::unique_ptr<HttpTransfer> remove(CURL *handle)
    {
        const auto found = m_active.find(handle);
        GREENGAGESTAIR_ASSERT(found != m_active.end());
        std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
        m_active.erase(found);
        curl_multi_remove_handle(m_multi, handle);
        return transfer;
    }

    void abortAll()
    {
        while (!m_active.empty())
            remove(m_active.begin()->first)->abort();
    }

    ResponseAccount m_account; ///< before the transfers, which refer to it
    CURLM *m_multi;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<HttpTransfer>> m_queued;                ///< guarded by m_mutex
    bool m_isStopping = false;                                          ///< guarded by m_mutex
    std::unordered_map<CURL *, std::unique_ptr<HttpTransfer>> m_active; ///< used by m_thread only
    std::thread m_thread;
};

HttpClient::HttpClient()
{
    initializeCurl();
    m_state = std::make_unique<State>();
}

HttpClient::~HttpClient() = default;

void HttpClient::start(HttpRequest request, HttpCallback callback)
{
    m_state->start(std::make_unique<HttpTransfer>(std::move(request), std::move(callback),
                                                  m_state->account()));
}

void HttpClient::setMaxHeldBytes(std::size_t bytes)
{
    m_state->account().setLimit(bytes);
}

std::size_t HttpClient::heldBytes() const
{
    return m_state->account().bytes();
}

void HttpClient::stop()
{
    m_state->stop();
}

} // namespace greengagestair
