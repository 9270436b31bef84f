#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibJob/Catalogue.h>

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// Decides which waiting work comes after that of other customers when there isn't room for all:
/// jobs beyond a customer's rate of submission, and steps of customers that use more than their
/// share of the capacity. Work without a customer is never among them.
class CustomerShares
{
public:
    /// Replaces the weights. A customer that isn't among \p customers has weight 1.
    void setCustomers(const std::vector<Customer> &customers);

    /// Takes a token from the customer's bucket for a job that was submitted at \p unixMs. Returns
    /// false if there is none: the job is beyond the customer's rate. Jobs come in the order in
    /// which they were submitted, as far as known.
    bool takeToken(const Core::CustomerId &customer, std::int64_t unixMs);

    /// Sets which customers share \p capacity: those that use or want a part of it.
    void beginPass(std::set<Core::CustomerId> sharing, const Core::Resources &capacity);
    /// The customer shares the capacity, too, from now until the next pass.
    void addSharing(const Core::CustomerId &customer);
    /// True if the customer's dominant share of the capacity exceeds its part of the weights.
    bool isAboveShare(const Core::CustomerId &customer, const Core::Resources &used) const;

private:
    struct Bucket
    {
        double tokens = 0;
        /// When `tokens` was computed.
        std::int64_t filledUnixMs = 0;
    };

    double weightOf(const Core::CustomerId &customer) const;

    std::unordered_map<Core::CustomerId, double> m_weights;
    std::unordered_map<Core::CustomerId, Bucket> m_buckets;
    Core::Resources m_capacity;
    std::set<Core::CustomerId> m_sharing;
    /// Of the customers that share the capacity.
    double m_totalWeight = 0;
};

} // namespace Jobs
