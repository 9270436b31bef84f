#pragma once

namespace Routing {

/// Limits retries to a fraction of the first attempts, so that a fault doesn't multiply the load.
class RetryBudget
{
public:
    /// Each first attempt adds \p ratio retries to the budget, up to \p burst.
    RetryBudget(double ratio, double burst);

    void onFirstAttempt();
    /// Returns true if a retry is allowed, and withdraws it from the budget.
    bool tryWithdraw();

private:
    double m_ratio;
    double m_burst;
    double m_balance;
};

} // namespace Routing
