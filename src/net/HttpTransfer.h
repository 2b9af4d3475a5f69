#pragma once

#include "net/HttpClient.h"
#include "net/ResponseAccount.h"

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace greengagestair {

/**
 * One HTTP request on a libcurl easy handle, owned by HttpClient. It turns libcurl's result into an
 * HttpResponse and makes sure that the request is sent at most once. Not thread-safe: HttpClient
 * uses it only on its own thread, except for a request that is started after stop().
 */
class HttpTransfer
{
public:
    /** `account` counts what is received of the response; it must outlive this object. */
    HttpTransfer(HttpRequest request, HttpCallback callback, ResponseAccount &account);
    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    /** Creates and configures the handle. Returns false if that fails or if the time for sending
     * the request has passed. */
    bool prepare();

    /** The libcurl handle; null before prepare(). */
    CURL *handle() const { return m_handle.get(); }

    /** Calls the callback with the result. `code` is libcurl's result of the transfer. */
    void finish(CURLcode code);

    /** Calls the callback for a transfer that was aborted or never started. */
    void abort();

private:
    struct HandleDeleter
    {
        void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
    };
    struct ListDeleter
    {
        void operator()(curl_slist *list) const { curl_slist_free_all(list); }
    };

    static int onPreRequest(void *self, char *, char *, int, int);
    static curl_socket_t onOpenSocket(void *self, curlsocktype purpose, curl_sockaddr *address);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);

    void setHeaders();
    void setTimeouts(Duration remaining);
    /** Counts received bytes; returns false if the response exceeds the joint bound. */
    bool countReceived(std::size_t bytes);
    /** Frees what was received and takes it off the account. */
    void releaseReceived();
    /** Takes one line of a head or of the trailer; returns false if it is not accepted. */
    bool acceptLine(std::string_view line);
    /** Takes a whole head; interim heads are checked and dropped. */
    bool acceptHead(std::string_view text);
    bool acceptTrailerLine(std::string_view line);
    /** Notes why the response is not accepted; returns false. */
    bool reject(ResponseDefect defect);
    /** Why libcurl itself did not accept the response; nullopt if it did not say so. */
    std::optional<ResponseDefect> defectOf(CURLcode code) const;
    HttpCompletion completionOf(CURLcode code) const;

    HttpRequest m_request;
    HttpCallback m_callback;
    ResponseAccount &m_account;
    HttpResponse m_response;
    std::string m_url;
    std::unique_ptr<curl_slist, ListDeleter> m_headers;
    std::unique_ptr<CURL, HandleDeleter> m_handle;
    bool m_mayHaveBeenSent = false;  ///< whether a byte of the request may have been sent
    bool m_isHeadComplete = false;   ///< the head of the final response was received
    std::string m_headText;          ///< lines of the head that is being received
    std::size_t m_lineBytes = 0;     ///< of all heads and the trailer
    std::size_t m_receivedBytes = 0; ///< of lines and body
};

} // namespace greengagestair
