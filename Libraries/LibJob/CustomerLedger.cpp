#include <LibJob/CustomerLedger.h>

#include <algorithm>
#include <cstdint>

namespace Jobs {

void CustomerLedger::setCustomers(const std::vector<Customer> &customers)
{
    for (const Customer &customer : customers)
        m_accounts[customer.id].limit = customer.limit;
    m_hasLimits = std::any_of(customers.begin(), customers.end(), [](const Customer &customer) {
        return customer.limit != Core::Resources();
    });
}

void CustomerLedger::add(const Core::CustomerId &customer, const Core::Resources &need)
{
    if (customer.isEmpty())
        return;
    Account &account = m_accounts[customer];
    account.usedByRuns = account.usedByRuns + need;
}

void CustomerLedger::remove(const Core::CustomerId &customer, const Core::Resources &need)
{
    if (customer.isEmpty())
        return;
    Account &account = m_accounts[customer];
    account.usedByRuns = account.usedByRuns - need;
}

void CustomerLedger::setOtherUse(const Amounts &use)
{
    for (auto &[customer, account] : m_accounts)
        account.otherUse = {};
    for (const auto &[customer, amount] : use)
        addOtherUse(customer, amount);
}

void CustomerLedger::addOtherUse(const Core::CustomerId &customer, const Core::Resources &use)
{
    if (customer.isEmpty())
        return;
    Account &account = m_accounts[customer];
    account.otherUse = account.otherUse + use;
}

const CustomerLedger::Account *CustomerLedger::find(const Core::CustomerId &customer) const
{
    if (customer.isEmpty())
        return nullptr;
    const auto found = m_accounts.find(customer);
    return found == m_accounts.end() ? nullptr : &found->second;
}

Core::Resources CustomerLedger::used(const Core::CustomerId &customer) const
{
    const Account *account = find(customer);
    return account ? account->used() : Core::Resources();
}

Core::Resources CustomerLedger::limit(const Core::CustomerId &customer) const
{
    const Account *account = find(customer);
    return account ? account->limit : Core::Resources();
}

static bool isWithin(std::int64_t used, std::int64_t need, std::int64_t limit)
{
    return limit == 0 || need == 0 || used + need <= limit;
}

static bool isWithinOrLarge(std::int64_t used, std::int64_t need, std::int64_t limit)
{
    return isWithin(used, need, limit) || (2 * need > limit && 2 * used <= limit);
}

template<typename Predicate>
static bool holdsInEachDimension(const Core::Resources &used, const Core::Resources &need,
                                 const Core::Resources &limit, const Predicate &predicate)
{
    return predicate(used.milliCores, need.milliCores, limit.milliCores)
        && predicate(used.mebibytes, need.mebibytes, limit.mebibytes)
        && predicate(used.accelerators, need.accelerators, limit.accelerators);
}

bool CustomerLedger::mayStart(const Core::CustomerId &customer, const Core::Resources &need) const
{
    const Account *account = find(customer);
    return !account || holdsInEachDimension(account->used(), need, account->limit, isWithinOrLarge);
}

bool CustomerLedger::mayStartTogether(const Core::CustomerId &customer,
                                      const Core::Resources &need) const
{
    const Account *account = find(customer);
    return !account || holdsInEachDimension(account->used(), need, account->limit, isWithin);
}

bool CustomerLedger::exceedsWholeLimit(const Core::CustomerId &customer,
                                       const Core::Resources &amount) const
{
    const Account *account = find(customer);
    return account && !holdsInEachDimension({}, amount, account->limit, isWithin);
}

bool CustomerLedger::isAboveLimit(const Core::CustomerId &customer) const
{
    return exceedsWholeLimit(customer, used(customer));
}

CustomerLedger::Amounts CustomerLedger::usedByCustomer() const
{
    Amounts amounts;
    for (const auto &[customer, account] : m_accounts) {
        if (account.used() != Core::Resources())
            amounts.emplace(customer, account.used());
    }
    return amounts;
}

} // namespace Jobs
