#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace greengagestair {

/**
 * Body of a received message for Boost.Beast. Memory grows with the bytes that have arrived, up to
 * the stated length. http::string_body reserves the whole stated length before the first byte.
 */
struct GrowingBody
{
    using value_type = std::string;

    static std::uint64_t size(const value_type &body) { return body.size(); }

    /** See BodyReader in the documentation of Boost.Beast. */
    class reader // NOLINT(readability-identifier-naming): Boost.Beast looks for this name
    {
    public:
        template <bool isRequest, class Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> & /*header*/,
                        value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            m_length = length;
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            std::size_t taken = 0;
            for (const auto &buffer : boost::beast::buffers_range_ref(buffers)) {
                reserve(m_body.size() + buffer.size());
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                taken += buffer.size();
            }
            error = {};
            return taken;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        /** Doubles the capacity, but not beyond a stated length. */
        void reserve(std::size_t needed)
        {
            if (needed <= m_body.capacity())
                return;
            std::size_t capacity = std::max(needed, 2 * m_body.capacity());
            if (m_length)
                capacity = std::max(needed, std::min<std::size_t>(capacity, *m_length));
            m_body.reserve(capacity);
        }

        value_type &m_body;
        boost::optional<std::uint64_t> m_length;
    };
};

} // namespace greengagestair
