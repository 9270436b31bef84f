#pragma once

namespace Routing {

/// Bounds retries to a part of the first attempts, so that a fault doesn't multiply the load.
class RetryBudget
{
public:
    /// \p ratio retries are earned by each first attempt; \p burst is the most that can be saved.
    RetryBudget(double ratio, double burst);

    void onFirstAttempt();
    /// True if one retry may be made; it is then spent.
    bool tryWithdraw();

private:
    double m_ratio;
    double m_burst;
    double m_balance;
};

} // namespace Routing
