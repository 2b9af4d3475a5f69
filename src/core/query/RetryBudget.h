#pragma once

namespace greengagestair {

/**
 * Token bucket that limits the hedges and retries of one service to 5 % of its first attempts.
 * PartDispatcher keeps one for each service. The bucket starts with 10 tokens.
 */
class RetryBudget
{
public:
    /** Adds 0.05 tokens for one first attempt. */
    void addFirstAttempt();
    /** Takes a token for one hedge or retry; returns false if less than one token is left. */
    bool tryTake();
    /** Returns the number of tokens left. */
    double tokens() const { return m_tokens; }

private:
    double m_tokens = kInitialTokens;

    static constexpr double kInitialTokens = 10.0;
};

} // namespace greengagestair
