#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibJob/Catalogue.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// Tracks what the tasks of each customer request together, and decides whether the customer's
/// limit lets another task start. Work without a customer is neither counted nor limited.
class CustomerLedger
{
public:
    using Amounts = std::map<Core::CustomerId, Core::Resources>;

    /// Replaces the limits. A customer that isn't among \p customers any more keeps its
    /// limit: its remaining jobs go on.
    void setCustomers(const std::vector<Customer> &customers);
    /// True if one of the customers that were set last has a limit.
    bool hasLimits() const { return m_hasLimits; }

    /// A run was planned or adopted, or is known to be gone.
    void add(const Core::CustomerId &customer, const Core::Resources &need);
    void remove(const Core::CustomerId &customer, const Core::Resources &need);
    /// Replaces what counts beside the runs that were added: what may run without being known as a
    /// run.
    void setOtherUse(const Amounts &use);
    void addOtherUse(const Core::CustomerId &customer, const Core::Resources &use);

    /// What counts toward the customer's limit.
    Core::Resources used(const Core::CustomerId &customer) const;
    /// 0 in a dimension without a limit; all 0 for an unknown customer.
    Core::Resources limit(const Core::CustomerId &customer) const;
    /// True if the customer's use and \p need together fit in the limit. A need of more than half
    /// of the limit also fits beside a use of at most half of it: otherwise it might never do so
    /// while the customer has smaller tasks.
    bool mayStart(const Core::CustomerId &customer, const Core::Resources &need) const;
    /// The same for tasks that start together: they fit in the limit or don't start.
    bool mayStartTogether(const Core::CustomerId &customer, const Core::Resources &need) const;

    /// True if \p amount wouldn't fit in the limit even if the customer used nothing else.
    bool exceedsWholeLimit(const Core::CustomerId &customer, const Core::Resources &amount) const;
    /// True if the customer uses more than its limit, as after the limit was lowered.
    bool isAboveLimit(const Core::CustomerId &customer) const;

    /// The customers that use something, with what they use.
    Amounts usedByCustomer() const;
    /// Calls \p visit(id, used, limit) for each known customer.
    template<typename Visitor>
    void forEachCustomer(const Visitor &visit) const
    {
        for (const auto &[customer, account] : m_accounts)
            visit(customer, account.used(), account.limit);
    }

private:
    struct Account
    {
        Core::Resources limit;
        Core::Resources usedByRuns;
        Core::Resources otherUse;

        Core::Resources used() const { return usedByRuns + otherUse; }
    };

    /// Returns null if nothing is known of the customer.
    const Account *find(const Core::CustomerId &customer) const;

    std::unordered_map<Core::CustomerId, Account> m_accounts;
    bool m_hasLimits = false;
};

} // namespace Jobs
