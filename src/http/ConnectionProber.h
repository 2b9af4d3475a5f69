#pragma once

#include "greengagestair/Types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace greengagestair {

/** Finds out whether servers accept connections. Nothing is sent over them. */
class ConnectionProber
{
public:
    using OnEnded = std::function<void(const ServerId &server, bool isConnected)>;

    ConnectionProber(boost::asio::io_context &context, OnEnded onEnded);

    /** Tries to connect; ends with exactly one report, never from within this call. */
    void probe(const ServerId &server, const Endpoint &endpoint);

private:
    boost::asio::io_context &m_context;
    std::shared_ptr<const OnEnded> m_onEnded; ///< attempts that outlive this object report nothing
};

} // namespace greengagestair
