#pragma once

#include "greengagestair/Types.h"

#include <cstdint>
#include <deque>

namespace greengagestair {

/** Token bucket for the requests of one tenant. Reported requests may take it below zero. */
class QuotaBucket
{
public:
    /** An empty bucket that fills from `since` on. */
    QuotaBucket(MonotonicTime since, Duration window);

    /** Sets the rate, in tokens per second, and the capacity in tokens. */
    void setLimits(double rate, double capacity, MonotonicTime now);
    /** Sets the content at `since`, from which time on the bucket fills. */
    void restart(double tokens, MonotonicTime since);
    /** Removes tokens for requests that were sent already. */
    void charge(double tokens, MonotonicTime now);
    /** Takes up to `wanted` whole tokens and returns their number. */
    std::uint32_t take(std::uint32_t wanted, MonotonicTime now);

    /** Tokens in the bucket; negative after too many reported requests. */
    double tokens(MonotonicTime now) const;
    /** Content relative to the capacity. */
    double level(MonotonicTime now) const;
    /**
     * Time until hosts that were turned away should ask again: the next token is there, and several
     * if the rate is high, so that each question brings enough.
     */
    Duration untilNext(MonotonicTime now) const;

private:
    void fill(MonotonicTime now);

    std::chrono::duration<double> m_window;
    double m_rate = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    MonotonicTime m_filledAt;
};

/** Limits a number in each span of a given length; counts by slices of the span. */
class QuotaWindow
{
public:
    explicit QuotaWindow(Duration window);

    /** Sets the number that is allowed in each window. */
    void setLimit(double limit) { m_limit = limit; }
    /** Records requests that were sent already. */
    void charge(std::uint32_t requests, MonotonicTime now);
    /** Takes up to `wanted` of what is left and returns the number. */
    std::uint32_t take(std::uint32_t wanted, MonotonicTime now);
    /** Time until the oldest slice leaves the window; 0 if something is left. */
    Duration untilNext(MonotonicTime now);

private:
    struct Slice
    {
        MonotonicTime begin;
        std::uint32_t requests = 0;
    };

    void forgetOld(MonotonicTime now);
    double left() const;

    Duration m_window;
    double m_limit = 0;
    std::deque<Slice> m_slices;
    double m_sum = 0;
};

} // namespace greengagestair
