#include "process/retrybudgets.h"

#include <algorithm>

namespace bulrush {

RetryBudgets::RetryBudgets(const RetryAllowance &terms)
    : m_terms(terms)
{ }

void RetryBudgets::setDaemonCount(std::size_t count)
{
    const double share =
        count == 0 ? minReserve : m_terms.slack * usedFraction / static_cast<double>(count);
    m_reserve = std::clamp(share, minReserve, maxReserve);
    for (auto &[service, budget] : m_budgets)
        budget.setReserve(m_reserve);
}

void RetryBudgets::recordFirstAttempt(const ServiceName &service)
{
    budgetOf(service).recordFirstAttempt();
}

bool RetryBudgets::takeRetry(const ServiceName &service, RequestClass requestClass)
{
    return budgetOf(service).takeRetry(requestClass);
}

RetryBudget &RetryBudgets::budgetOf(const ServiceName &service)
{
    return m_budgets.try_emplace(service, m_terms.ratio * usedFraction, m_reserve).first->second;
}

} // namespace bulrush
