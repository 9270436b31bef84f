#include <LibJob/CustomerShares.h>

#include <algorithm>
#include <utility>

namespace Jobs {

static constexpr double defaultWeight = 1;
/// A bucket holds the tokens of this many seconds, so that a customer that submits its jobs in
/// bursts isn't put behind others.
static constexpr double bucketSeconds = 2;
static constexpr double millisecondsPerSecond = 1000;

void CustomerShares::setCustomers(const std::vector<Customer> &customers)
{
    m_weights.clear();
    for (const Customer &customer : customers)
        m_weights[customer.id] = customer.weight;
}

double CustomerShares::weightOf(const Core::CustomerId &customer) const
{
    const auto found = m_weights.find(customer);
    return found == m_weights.end() ? defaultWeight : found->second;
}

bool CustomerShares::takeToken(const Core::CustomerId &customer, std::int64_t unixMs)
{
    if (customer.isEmpty())
        return true;
    const double rate = weightOf(customer);
    const double size = std::max(1.0, rate * bucketSeconds);
    Bucket &bucket = m_buckets.try_emplace(customer, Bucket { size, unixMs }).first->second;
    // The clocks of the VMs differ, so a later submission may seem to be earlier.
    if (unixMs > bucket.filledUnixMs) {
        const double seconds
            = static_cast<double>(unixMs - bucket.filledUnixMs) / millisecondsPerSecond;
        bucket.tokens += seconds * rate;
        bucket.filledUnixMs = unixMs;
    }
    bucket.tokens = std::min(size, bucket.tokens);
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

void CustomerShares::beginPass(std::set<Core::CustomerId> sharing, const Core::Resources &capacity)
{
    m_capacity = capacity;
    m_sharing = std::move(sharing);
    m_totalWeight = 0;
    for (const Core::CustomerId &customer : m_sharing)
        m_totalWeight += weightOf(customer);
}

void CustomerShares::addSharing(const Core::CustomerId &customer)
{
    if (!customer.isEmpty() && m_sharing.insert(customer).second)
        m_totalWeight += weightOf(customer);
}

bool CustomerShares::isAboveShare(const Core::CustomerId &customer,
                                  const Core::Resources &used) const
{
    if (customer.isEmpty() || m_totalWeight <= 0)
        return false;
    return Core::dominantShare(used, m_capacity) > weightOf(customer) / m_totalWeight;
}

} // namespace Jobs
