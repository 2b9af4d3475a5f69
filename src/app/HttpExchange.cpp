#include "app/HttpExchange.h"

#include "app/Settings.h"

#include <boost/leaf/error.hpp>
#include <curl/curl.h>

#include <charconv>
#include <memory>
#include <string_view>

namespace greengagestair {

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlHeaders = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

static std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

static std::optional<Revision> readRevision(CURL *handle)
{
    curl_header *header = nullptr;
    if (curl_easy_header(handle, "X-Revision", 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
        return std::nullopt;
    const std::string_view text(header->value);
    Revision revision;
    const auto [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), revision.value);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return revision;
}

boost::leaf::result<HttpExchangeReply> exchange(const HttpExchangeRequest &request)
{
    const CurlHandle handle(curl_easy_init(), curl_easy_cleanup);
    CurlHeaders headers(nullptr, curl_slist_free_all);
    const std::string url = "http://" + toText(request.server) + request.path;
    HttpExchangeReply reply;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    // Servers are addressed by IP number; a proxy of the environment does not apply to them.
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply.body);
    if (request.body) {
        curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, "PUT");
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, request.body->data());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body->size()));
        headers.reset(curl_slist_append(headers.release(), "Content-Type: application/json"));
        // Waiting for 100 Continue would only add a round trip.
        headers.reset(curl_slist_append(headers.release(), "Expect:"));
    }
    if (request.ifRevision) {
        const std::string line = "If-Revision: " + std::to_string(request.ifRevision->value);
        headers.reset(curl_slist_append(headers.release(), line.c_str()));
    }
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        const bool isConnected =
                code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST;
        return boost::leaf::new_error(HttpExchangeFailed { isConnected, curl_easy_strerror(code) });
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    reply.revision = readRevision(handle.get());
    return reply;
}

} // namespace greengagestair
