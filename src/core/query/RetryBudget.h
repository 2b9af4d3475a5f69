#pragma once

namespace greengagestair {

/** Bounds the hedges and retries of one service to a share of its first attempts. */
class RetryBudget
{
public:
    /** Credits one first attempt. */
    void addFirstAttempt();
    /** Pays for one hedge or retry; false if the budget does not allow it. */
    bool tryTake();
    double tokens() const { return m_tokens; }

private:
    double m_tokens = kInitialTokens;

    static constexpr double kInitialTokens = 10.0;
};

} // namespace greengagestair
