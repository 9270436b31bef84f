#include <LibRouting/FairQueue.h>

#include <algorithm>

namespace Routing {

FairQueue::FairQueue(Core::Duration quantum)
    : m_quantum(std::max(quantum, Core::Duration(1)))
{
}

void FairQueue::setWeights(const std::map<Core::TeamId, int> &weights)
{
    m_weights = weights;
    m_activeWeight = 0;
    for (TeamQueue *queue : m_round) {
        queue->weight = weightOf(queue->team);
        m_activeWeight += queue->weight;
    }
}

void FairQueue::setQuantum(Core::Duration quantum)
{
    m_quantum = std::max(quantum, Core::Duration(1));
}

void FairQueue::pushBack(const QueuedRequest &request)
{
    TeamQueue &queue = activate(request.team, m_round.end());
    queue.entries.push_back({ request, false });
    queue.cost += request.cost;
    m_positions[request.id] = { &queue, std::prev(queue.entries.end()) };
}

void FairQueue::pushFront(const QueuedRequest &request)
{
    TeamQueue &queue = activate(request.team, m_round.begin());
    queue.entries.push_front({ request, true });
    queue.cost += request.cost;
    m_positions[request.id] = { &queue, queue.entries.begin() };
}

const QueuedRequest *FairQueue::peek()
{
    while (!m_round.empty()) {
        TeamQueue &queue = *m_round.front();
        if (!queue.isInTurn) {
            queue.isInTurn = true;
            queue.deficit += m_quantum * queue.weight;
        }
        const Entry &head = queue.entries.front();
        if (head.isCharged || head.request.cost <= queue.deficit)
            return &head.request;
        queue.isInTurn = false;
        m_round.splice(m_round.end(), m_round, m_round.begin());
    }
    return nullptr;
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (!peek())
        return std::nullopt;
    TeamQueue &queue = *m_round.front();
    const Entry &head = queue.entries.front();
    if (!head.isCharged)
        queue.deficit -= head.request.cost;
    return take(queue, queue.entries.begin());
}

std::optional<QueuedRequest> FairQueue::takeNewestOfBusiest()
{
    const auto perWeight = [](const TeamQueue *queue) { return queue->cost / queue->weight; };
    const auto busiest = std::max_element(
        m_round.begin(), m_round.end(),
        [&](const auto *left, const auto *right) { return perWeight(left) < perWeight(right); });
    if (busiest == m_round.end())
        return std::nullopt;
    return take(**busiest, std::prev((*busiest)->entries.end()));
}

bool FairQueue::remove(const Core::RequestId &request)
{
    const auto position = m_positions.find(request);
    if (position == m_positions.end())
        return false;
    take(*position->second.queue, position->second.entry);
    return true;
}

Core::Duration FairQueue::costOf(const Core::TeamId &team) const
{
    const auto queue = m_queues.find(team);
    return queue == m_queues.end() ? Core::Duration(0) : queue->second.cost;
}

double FairQueue::shareOf(const Core::TeamId &team) const
{
    const int weight = weightOf(team);
    const int others = m_activeWeight - (m_queues.contains(team) ? weight : 0);
    return static_cast<double>(weight) / (weight + others);
}

int FairQueue::weightOf(const Core::TeamId &team) const
{
    const auto weight = m_weights.find(team);
    return weight == m_weights.end() ? 1 : std::max(weight->second, 1);
}

FairQueue::TeamQueue &FairQueue::activate(const Core::TeamId &team,
                                          std::list<TeamQueue *>::iterator place)
{
    TeamQueue &queue = m_queues[team];
    if (!queue.entries.empty())
        return queue;
    queue.team = team;
    queue.weight = weightOf(team);
    m_activeWeight += queue.weight;
    queue.roundPosition = m_round.insert(place, &queue);
    return queue;
}

QueuedRequest FairQueue::take(TeamQueue &queue, std::list<Entry>::iterator entry)
{
    QueuedRequest request = std::move(entry->request);
    queue.cost -= request.cost;
    m_positions.erase(request.id);
    queue.entries.erase(entry);
    if (queue.entries.empty())
        deactivate(queue);
    return request;
}

void FairQueue::deactivate(TeamQueue &queue)
{
    m_activeWeight -= queue.weight;
    m_round.erase(queue.roundPosition);
    // Copied, since erasing the entry would destroy the key that is being passed.
    const Core::TeamId team = queue.team;
    m_queues.erase(team);
}

} // namespace Routing
