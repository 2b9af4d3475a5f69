#include "gateway/RateShare.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/** The share of this time can be saved. */
static constexpr std::chrono::duration<double> kSavedTime(0.5);
/** Validity of a draw that was won. */
static constexpr Duration kDrawValidity = std::chrono::milliseconds(500);

double RateShare::depth() const
{
    return m_perSecond * kSavedTime.count();
}

void RateShare::save(MonotonicTime now)
{
    const std::chrono::duration<double> time = std::max(now - m_savedAt, Duration(0));
    m_saved = std::min(m_saved + m_perSecond * time.count(), depth());
    m_savedAt = now;
}

void RateShare::setRate(double perSecond, MonotonicTime now)
{
    if (perSecond == m_perSecond)
        return;
    save(now);
    m_perSecond = perSecond;
    m_saved = std::min(m_saved, depth());
}

bool RateShare::mayTake(MonotonicTime now, RandomSource &random)
{
    if (m_drawnUntil && now <= *m_drawnUntil)
        return true;
    m_drawnUntil.reset();
    save(now);
    if (m_saved >= 1)
        return true;
    if (depth() >= 1)
        return false;
    if (std::generate_canonical<double, 32>(random) < m_saved)
        m_drawnUntil = now + kDrawValidity;
    m_saved = 0;
    return m_drawnUntil.has_value();
}

void RateShare::take(MonotonicTime now)
{
    if (std::exchange(m_drawnUntil, std::nullopt))
        return;
    save(now);
    m_saved = std::max(m_saved - 1, 0.0);
}

} // namespace greengagestair
