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

/** Idle connections kept open over all servers. An entry host owns a few dozen backend servers at
 * most, each with a handful of connections. */
static constexpr long kKeptConnections = 1024;

/** The thread wakes up for commands and sockets by itself; this only bounds a missed wake-up. */
static constexpr std::chrono::milliseconds kMaxWait(1000);

MonotonicTime steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return MonotonicTime(std::chrono::duration_cast<Duration>(sinceEpoch));
}

MonotonicTime steadyDeadline(Duration timeout)
{
    return steadyNow() + std::min<Duration>(timeout, std::chrono::hours(24));
}

static void initialiseCurl()
{
    static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
    GREENGAGESTAIR_ASSERT(kResult == CURLE_OK);
}

class HttpClient::State
{
public:
    State()
        : m_multi(curl_multi_init())
    {
        GREENGAGESTAIR_ASSERT(m_multi);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kKeptConnections);
        m_thread = std::thread([this] { run(); });
    }

    ~State()
    {
        stop();
        curl_multi_cleanup(m_multi);
    }

    void start(std::unique_ptr<HttpTransfer> transfer)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_stopping) {
                m_added.push_back(std::move(transfer));
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
            m_stopping = true;
        }
        curl_multi_wakeup(m_multi);
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void run()
    {
        while (takeAdded()) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            takeFinished();
            const auto wait = static_cast<int>(kMaxWait.count());
            curl_multi_poll(m_multi, nullptr, 0, wait, nullptr);
        }
        abortAll();
    }

    /** False once the loop is to stop. */
    bool takeAdded()
    {
        std::vector<std::unique_ptr<HttpTransfer>> added;
        bool stopping = false;
        {
            const std::lock_guard lock(m_mutex);
            added.swap(m_added);
            stopping = m_stopping;
        }
        for (auto &transfer : added) {
            if (stopping || !transfer->prepare())
                transfer->abort();
            else
                add(std::move(transfer));
        }
        return !stopping;
    }

    void add(std::unique_ptr<HttpTransfer> transfer)
    {
        CURL *handle = transfer->handle();
        if (curl_multi_add_handle(m_multi, handle) != CURLM_OK) {
            transfer->abort();
            return;
        }
        m_running.emplace(handle, std::move(transfer));
    }

    void takeFinished()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
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
        const auto found = m_running.find(handle);
        GREENGAGESTAIR_ASSERT(found != m_running.end());
        std::unique_ptr<HttpTransfer> transfer = std::move(found->second);
        m_running.erase(found);
        curl_multi_remove_handle(m_multi, handle);
        return transfer;
    }

    void abortAll()
    {
        while (!m_running.empty())
            remove(m_running.begin()->first)->abort();
    }

    CURLM *m_multi;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<HttpTransfer>> m_added;                  ///< guarded by m_mutex
    bool m_stopping = false;                                             ///< guarded by m_mutex
    std::unordered_map<CURL *, std::unique_ptr<HttpTransfer>> m_running; ///< of the thread
    std::thread m_thread;
};

HttpClient::HttpClient()
{
    initialiseCurl();
    m_state = std::make_unique<State>();
}

HttpClient::~HttpClient() = default;

void HttpClient::start(HttpRequest request, HttpCallback done)
{
    m_state->start(std::make_unique<HttpTransfer>(std::move(request), std::move(done)));
}

void HttpClient::stop()
{
    m_state->stop();
}

} // namespace greengagestair
