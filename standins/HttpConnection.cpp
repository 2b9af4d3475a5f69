#include "standins/HttpConnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace greengagestair::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

HttpConnection::HttpConnection(asio::io_context &context, tcp::endpoint endpoint)
    : m_endpoint(std::move(endpoint))
    , m_socket(context)
{
}

asio::awaitable<std::optional<HttpResponse>> HttpConnection::exchange(HttpRequest request)
{
    const auto self = shared_from_this();
    m_sent = false;
    if (!m_socket.is_open()) {
        m_buffer.clear();
        const auto [error] = co_await m_socket.async_connect(m_endpoint, kAwait);
        if (error) {
            close();
            co_return std::nullopt;
        }
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
    }
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                             11);
    message.set(http::field::host, m_endpoint.address().to_string());
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    m_sent = true;
    const auto [writeError, written] = co_await http::async_write(m_socket, message, kAwait);
    if (writeError) {
        close();
        co_return std::nullopt;
    }
    http::response<http::string_body> answer;
    const auto [readError, read] = co_await http::async_read(m_socket, m_buffer, answer, kAwait);
    if (readError) {
        close();
        co_return std::nullopt;
    }
    if (!answer.keep_alive())
        close();
    HttpResponse response { static_cast<int>(answer.result_int()), {}, {} };
    for (const auto &field : answer)
        response.headers.emplace_back(field.name_string(), field.value());
    response.body = std::move(answer.body());
    co_return response;
}

void HttpConnection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace greengagestair::standins
