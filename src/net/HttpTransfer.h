#pragma once

#include "net/HttpClient.h"

#include <curl/curl.h>

#include <memory>

namespace greengagestair {

/** One request on a libcurl handle. Lives on the thread of its loop. */
class HttpTransfer
{
public:
    HttpTransfer(HttpRequest request, HttpCallback done);
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    /** Prepares the handle; false if the request must not be started any more. */
    bool prepare();

    CURL *handle() const { return m_handle.get(); }

    /** Reports the end. `code` is what libcurl says of the transfer. */
    void finish(CURLcode code);

    /** Reports the end of a transfer that was given up. */
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

    static int onPrepared(void *self, char *, char *, int, int);
    static curl_socket_t onOpenSocket(void *self, curlsocktype purpose, curl_sockaddr *address);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);

    void setHeaders();
    void setLimits(Duration remaining);
    HttpCompletion endOf(CURLcode code) const;

    HttpRequest m_request;
    HttpCallback m_done;
    HttpResponse m_response;
    std::string m_url;
    std::unique_ptr<curl_slist, ListDeleter> m_headers;
    std::unique_ptr<CURL, HandleDeleter> m_handle;
    bool m_maySend = false; ///< from here on, a byte of the request may have left
    bool m_tooLarge = false;
};

} // namespace greengagestair
