#include <LibRouting/ServerSelector.h>

namespace Routing {

namespace {

/// Weight of failures in the load of a server: a server that fails quickly would look idle.
constexpr double failurePenalty = 10;

double expectedWork(const ServerCandidate &candidate)
{
    const double requests = candidate.inWork + 1;
    return requests * static_cast<double>(candidate.serviceTime.count())
        * (1 + failurePenalty * candidate.failureRatio);
}

double requestsInWork(const ServerCandidate &candidate)
{
    return candidate.inWork;
}

/// Returns the candidate with the least load, and a random one of several, so that entry VMs with
/// the same information don't all choose the same server.
template<typename Load>
std::size_t chooseLeast(const std::vector<ServerCandidate> &candidates, Random &random, Load load)
{
    std::size_t best = 0;
    double least = load(candidates[0]);
    std::uint64_t equals = 1;
    for (std::size_t position = 1; position < candidates.size(); ++position) {
        const double current = load(candidates[position]);
        if (current > least)
            continue;
        equals = current < least ? 1 : equals + 1;
        least = current;
        if (random.below(equals) == 0)
            best = position;
    }
    return best;
}

class RoundRobinSelector final : public ServerSelector
{
public:
    std::size_t choose(const std::vector<ServerCandidate> &candidates, Random &) override
    {
        std::size_t chosen = 0;
        for (std::size_t position = 0; position < candidates.size(); ++position) {
            if (candidates[position].index < m_next)
                continue;
            chosen = position;
            break;
        }
        m_next = candidates[chosen].index + 1;
        return chosen;
    }

private:
    std::size_t m_next = 0;
};

class LeastInWorkSelector final : public ServerSelector
{
public:
    std::size_t choose(const std::vector<ServerCandidate> &candidates, Random &random) override
    {
        return chooseLeast(candidates, random, requestsInWork);
    }
};

class PowerOfTwoSelector final : public ServerSelector
{
public:
    std::size_t choose(const std::vector<ServerCandidate> &candidates, Random &random) override
    {
        const std::size_t first = random.below(candidates.size());
        const std::size_t second = random.below(candidates.size());
        return requestsInWork(candidates[second]) < requestsInWork(candidates[first]) ? second
                                                                                      : first;
    }
};

class LatencyAwareSelector final : public ServerSelector
{
public:
    std::size_t choose(const std::vector<ServerCandidate> &candidates, Random &random) override
    {
        return chooseLeast(candidates, random, expectedWork);
    }
};

} // namespace

std::unique_ptr<ServerSelector> ServerSelector::create(SelectionPolicy policy)
{
    switch (policy) {
    case SelectionPolicy::RoundRobin:
        return std::make_unique<RoundRobinSelector>();
    case SelectionPolicy::LeastInWork:
        return std::make_unique<LeastInWorkSelector>();
    case SelectionPolicy::PowerOfTwo:
        return std::make_unique<PowerOfTwoSelector>();
    case SelectionPolicy::LatencyAware:
        break;
    }
    return std::make_unique<LatencyAwareSelector>();
}

} // namespace Routing
