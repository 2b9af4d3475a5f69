#include "gateway/Gateway.h"

namespace greengagestair {

void Gateway::on(const RolloutsRead &event)
{
    m_rollouts.read(event);
    m_dispatcher.retryWaiting();
}

void Gateway::on(const RolloutReported &event)
{
    m_rollouts.addReport(event.sender, event.report);
}

void Gateway::on(const RolloutNoticed &event)
{
    m_rollouts.addNotice(event.notice);
    m_dispatcher.retryWaiting();
}

void Gateway::on(const RolloutWriteEnded &event)
{
    m_rollouts.endWrite(event);
    m_dispatcher.retryWaiting();
}

} // namespace greengagestair
