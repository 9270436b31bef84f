#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace Routing {

RetryBudget::RetryBudget(double ratio, double burst)
    : m_ratio(ratio)
    , m_burst(burst)
    , m_balance(burst)
{
}

void RetryBudget::onFirstAttempt()
{
    m_balance = std::min(m_burst, m_balance + m_ratio);
}

bool RetryBudget::tryWithdraw()
{
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

} // namespace Routing
