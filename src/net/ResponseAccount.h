#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>

namespace greengagestair {

/**
 * Received bytes of all responses in progress of one HttpClient, with their joint bound.
 * Thread-safe.
 */
class ResponseAccount
{
public:
    /** Greatest bound in bytes, and the default. */
    static constexpr std::size_t kMaxBytes = 33'554'432;

    /** Lowers the bound for small machines. */
    void setLimit(std::size_t bytes) { m_limit = std::min(bytes, kMaxBytes); }
    void add(std::size_t bytes) { m_bytes += bytes; }
    void remove(std::size_t bytes) { m_bytes -= bytes; }
    std::size_t bytes() const { return m_bytes; }
    bool exceedsLimit() const { return m_bytes > m_limit; }

private:
    std::atomic<std::size_t> m_bytes = 0;
    std::atomic<std::size_t> m_limit = kMaxBytes;
};

} // namespace greengagestair
