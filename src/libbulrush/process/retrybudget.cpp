#include "process/retrybudget.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Slightly below 1, because sums of fractions have rounding errors. */
constexpr double oneRetry = 1.0 - 1e-9;

} // namespace

RetryBudget::RetryBudget(double fraction, double reserve)
    : m_fraction(fraction)
    , m_reserve(reserve)
{ }

void RetryBudget::setReserve(double reserve)
{
    m_reserve = reserve;
    m_retries = std::min(m_retries, m_reserve);
}

void RetryBudget::recordFirstAttempt()
{
    m_retries = std::min(m_retries + m_fraction, m_reserve);
}

bool RetryBudget::takeRetry(RequestClass requestClass)
{
    const double reservedForPriority = std::max(0.0, std::min(m_reserve / 2, m_reserve - 1.0));
    const double reserved = requestClass == RequestClass::Priority ? 0.0 : reservedForPriority;
    if (m_retries - reserved < oneRetry)
        return false;
    m_retries = std::max(0.0, m_retries - 1.0);
    return true;
}

} // namespace bulrush
