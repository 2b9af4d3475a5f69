#pragma once

#include "http/ResponseObserver.h"

#include <mutex>
#include <vector>

namespace greengagestair {

/** Records the responses that were not accepted. Thread-safe. */
class RecordingResponseObserver : public ResponseObserver
{
public:
    void onMalformedResponse(const MalformedResponse &response) override
    {
        const std::lock_guard lock(m_mutex);
        m_responses.push_back(response);
    }

    std::vector<MalformedResponse> responses() const
    {
        const std::lock_guard lock(m_mutex);
        return m_responses;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<MalformedResponse> m_responses; ///< guarded by m_mutex
};

} // namespace greengagestair
