#include "gateway/quota/QuotaBucket.h"

#include <algorithm>
#include <cmath>

namespace greengagestair {

/** Tolerance for rounding errors of sums. */
static constexpr double kTolerance = 1e-9;
/** Hosts that were turned away ask again after this time if the bucket cannot overflow meanwhile.
 */
static constexpr std::chrono::duration<double> kQuestionInterval(0.02);
/** Share of the capacity that may accrue before a host that was turned away asks again. */
static constexpr double kAccruedShare = 0.25;
static constexpr std::chrono::duration<double> kMaxPause(60);
/** Slices in a window; the window is that much longer than stated, which errs on the low side. */
static constexpr int kSlices = 50;

QuotaBucket::QuotaBucket(MonotonicTime since, Duration window)
    : m_window(window)
    , m_filledAt(since)
{
}

double QuotaBucket::tokens(MonotonicTime now) const
{
    const std::chrono::duration<double> time = std::max(now - m_filledAt, Duration(0));
    return std::min(m_tokens + m_rate * time.count(), m_capacity);
}

void QuotaBucket::fill(MonotonicTime now)
{
    m_tokens = tokens(now);
    m_filledAt = std::max(m_filledAt, now);
}

void QuotaBucket::setLimits(double rate, double capacity, MonotonicTime now)
{
    if (rate == m_rate && capacity == m_capacity)
        return;
    // A new bucket has no rate yet and fills from its start at the rate that is set first.
    if (m_rate > 0)
        fill(now);
    m_rate = rate;
    m_capacity = capacity;
    m_tokens = std::min(m_tokens, m_capacity);
}

void QuotaBucket::restart(double tokens, MonotonicTime since)
{
    m_tokens = std::min(tokens, m_capacity);
    m_filledAt = since;
}

void QuotaBucket::charge(double tokens, MonotonicTime now)
{
    fill(now);
    // Requests from before the current window do not count any more.
    m_tokens = std::max(m_tokens - tokens, -m_rate * m_window.count());
}

std::uint32_t QuotaBucket::take(std::uint32_t wanted, MonotonicTime now)
{
    fill(now);
    const double most = std::max(std::floor(m_tokens + kTolerance), 0.0);
    const double taken = std::min<double>(most, wanted);
    m_tokens -= taken;
    return static_cast<std::uint32_t>(taken);
}

double QuotaBucket::level(MonotonicTime now) const
{
    return m_capacity > 0 ? tokens(now) / m_capacity : 0;
}

Duration QuotaBucket::untilNext(MonotonicTime now) const
{
    const double missing = std::max(1 - tokens(now), 0.0);
    const std::chrono::duration<double> next(missing / m_rate);
    const std::chrono::duration<double> several(kAccruedShare * m_capacity / m_rate);
    return std::chrono::ceil<Duration>(
            std::min(std::max(next, std::min(several, kQuestionInterval)), kMaxPause));
}

QuotaWindow::QuotaWindow(Duration window)
    : m_window(window)
{
}

void QuotaWindow::forgetOld(MonotonicTime now)
{
    while (!m_slices.empty() && m_slices.front().begin + m_window + m_window / kSlices < now) {
        m_sum -= m_slices.front().requests;
        m_slices.pop_front();
    }
}

double QuotaWindow::left() const
{
    return std::max(std::floor(m_limit - m_sum + kTolerance), 0.0);
}

void QuotaWindow::charge(std::uint32_t requests, MonotonicTime now)
{
    forgetOld(now);
    if (requests == 0)
        return;
    if (m_slices.empty() || m_slices.back().begin + m_window / kSlices <= now)
        m_slices.push_back({ now, 0 });
    m_slices.back().requests += requests;
    m_sum += requests;
}

std::uint32_t QuotaWindow::take(std::uint32_t wanted, MonotonicTime now)
{
    forgetOld(now);
    const auto taken = static_cast<std::uint32_t>(std::min<double>(left(), wanted));
    charge(taken, now);
    return taken;
}

Duration QuotaWindow::untilNext(MonotonicTime now)
{
    forgetOld(now);
    if (left() >= 1)
        return Duration(0);
    if (m_slices.empty())
        return m_window;
    return m_slices.front().begin + m_window + m_window / kSlices - now;
}

} // namespace greengagestair
