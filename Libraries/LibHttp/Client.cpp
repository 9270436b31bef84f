#include <LibHttp/Client.h>

#include "Connection.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace Http {

namespace asio = boost::asio;
using boost::system::error_code;

/// How many expired connections one call closes, so that no call has to close many.
static constexpr std::size_t maxExpiredPerCall = 2;

namespace {

/// Counts a call as under way, at its client and in the budget.
class CallUnderWay
{
public:
    CallUnderWay(std::size_t &calls, ConnectionBudget &budget, ConnectionBudget::Use use)
        : m_calls(calls)
        , m_budget(budget)
        , m_use(use)
    {
        ++m_calls;
    }
    ~CallUnderWay()
    {
        --m_calls;
        m_budget.endCall(m_use);
    }
    CallUnderWay(const CallUnderWay &) = delete;
    CallUnderWay &operator=(const CallUnderWay &) = delete;

private:
    std::size_t &m_calls;
    ConnectionBudget &m_budget;
    ConnectionBudget::Use m_use;
};

} // namespace

/// The unused connections of a client, and a count of all. Calls share it, so that it outlives
/// those which are under way when the client is destroyed.
class Client::Pool final : public IdleConnectionOwner
{
public:
    Pool(asio::any_io_executor executor, const Endpoint &endpoint,
         std::shared_ptr<ConnectionBudget> budget, std::shared_ptr<DeadlineWatch> watch);
    ~Pool() override;
    Pool(const Pool &) = delete;
    Pool &operator=(const Pool &) = delete;

    static asio::awaitable<std::string> call(std::shared_ptr<Pool> pool, Request request,
                                             Core::Instant deadline);
    static asio::awaitable<Answer> exchange(std::shared_ptr<Pool> pool, Request request,
                                            Core::Instant deadline);
    void closeLongestIdle() override;
    void noteProcess(ConnectionNumber connection, ServerProcess process);
    bool hasIdleConnectionTo(ServerProcess process) const;

private:
    using ConnectionPtr = std::unique_ptr<Connection>;

    struct IdleConnection
    {
        ConnectionPtr connection;
        Core::Instant answeredAt;
        ConnectionBudget::IdlePosition position;
        /// None until the server has shown which process it is.
        std::optional<ServerProcess> process = {};
    };

    /// Counts a call as begun. \throws Core::NotDoneError if it may not begin.
    CallUnderWay beginCall(const Request &request, Core::Instant deadline);
    /// Returns an idle connection, to the required process if there is one; null if a new one is
    /// needed. \throws Core::NotDoneError if no connection to the required process is idle.
    IdleConnection takeFor(const Request &request);
    /// Returns an entry without a connection if none is idle.
    IdleConnection takeIdle(std::optional<ServerProcess> process);
    asio::awaitable<Answer> exchangeOnNew(const Request &request, Core::Instant deadline);
    void giveBack(ConnectionPtr connection, std::optional<ServerProcess> process);
    /// Closes the idle connections that haven't answered since \p began: whatever silenced or broke
    /// another one may have done the same to them.
    void closeUnansweredSince(Core::Instant began);
    /// Closes the idle connections to other processes: these have ended.
    void closeOthersThan(ServerProcess process);

    asio::any_io_executor m_executor;
    asio::ip::tcp::endpoint m_endpoint;
    std::string m_peer;
    std::shared_ptr<ConnectionBudget> m_budget;
    std::shared_ptr<DeadlineWatch> m_watch;
    /// The one that answered longest ago first.
    std::vector<IdleConnection> m_idle;
    std::size_t m_callsUnderWay = 0;
    ConnectionNumber m_lastConnection = 0;
};

static asio::ip::tcp::endpoint parseEndpoint(const Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        throw Core::FormatError("read endpoint", endpoint.address, "the address is no IP number");
    return { address, endpoint.port };
}

static std::string describe(const Answer &answer)
{
    return "status " + std::to_string(answer.status) + ": " + answer.body;
}

Client::Pool::Pool(asio::any_io_executor executor, const Endpoint &endpoint,
                   std::shared_ptr<ConnectionBudget> budget, std::shared_ptr<DeadlineWatch> watch)
    : m_executor(std::move(executor))
    , m_endpoint(parseEndpoint(endpoint))
    , m_peer(endpoint.address + ":" + std::to_string(endpoint.port))
    , m_budget(std::move(budget))
    , m_watch(std::move(watch))
{
    m_budget->addPeer();
}

Client::Pool::~Pool()
{
    for (const IdleConnection &idle : m_idle)
        m_budget->removeIdle(idle.position);
    m_budget->removePeer();
}

CallUnderWay Client::Pool::beginCall(const Request &request, Core::Instant deadline)
{
    const Core::Instant now = Core::steadyNow();
    if (deadline <= now)
        throw Core::NotDoneError(request.step, m_peer, "the deadline has passed");
    if (m_callsUnderWay >= maximumConnections)
        throw Core::NotDoneError(request.step, m_peer, "too many calls are under way");
    m_budget->closeExpired(now, maxExpiredPerCall);
    if (!m_budget->tryBeginCall(request.connectionUse))
        throw Core::NotDoneError(request.step, m_peer, "the connection budget is exhausted");
    return { m_callsUnderWay, *m_budget, request.connectionUse };
}

asio::awaitable<Answer> Client::Pool::exchange(std::shared_ptr<Pool> pool, Request request,
                                               Core::Instant deadline)
{
    const CallUnderWay callUnderWay = pool->beginCall(request, deadline);
    IdleConnection idle = pool->takeFor(request);
    bool isInDoubt = false;
    if (idle.connection) {
        const Core::Instant began = Core::steadyNow();
        try {
            Answer answer = co_await idle.connection->exchange(request, pool->m_peer, deadline);
            if (answer.isReusable)
                pool->giveBack(std::move(idle.connection), idle.process);
            co_return answer;
        } catch (const Core::NotDoneError &) {
            // Nothing was sent: a new connection may do better.
            pool->closeUnansweredSince(began);
            if (request.requiredProcess)
                throw;
        } catch (const Core::OutcomeUnknownError &) {
            pool->closeUnansweredSince(began);
            const bool mayRepeat = request.isIdempotent && !request.requiredProcess;
            if (!mayRepeat || Core::steadyNow() >= deadline)
                throw;
            isInDoubt = true;
        }
        // Before the budget is asked for another connection.
        idle.connection.reset();
    }
    try {
        Answer answer = co_await pool->exchangeOnNew(request, deadline);
        // The second sending was refused, but the first may have been carried out.
        if (isInDoubt && !answer.isSuccess())
            throw Core::OutcomeUnknownError(request.step, pool->m_peer, describe(answer));
        co_return answer;
    } catch (const Core::NotDoneError &error) {
        if (isInDoubt)
            throw Core::OutcomeUnknownError(request.step, pool->m_peer, error.what());
        throw;
    }
}

asio::awaitable<std::string> Client::Pool::call(std::shared_ptr<Pool> pool, Request request,
                                                Core::Instant deadline)
{
    const std::string step = request.step;
    Answer answer = co_await exchange(pool, std::move(request), deadline);
    if (answer.isSuccess())
        co_return std::move(answer.body);
    if (answer.status >= 400 && answer.status < 500)
        throw Core::NotDoneError(step, pool->m_peer, describe(answer));
    throw Core::OutcomeUnknownError(step, pool->m_peer, describe(answer));
}

asio::awaitable<Answer> Client::Pool::exchangeOnNew(const Request &request, Core::Instant deadline)
{
    if (!m_budget->tryOpen())
        throw Core::NotDoneError(request.step, m_peer, "the connection budget is exhausted");
    auto connection = std::make_unique<Connection>(m_executor, m_watch, ConnectionSlot(m_budget),
                                                   ++m_lastConnection);
    co_await connection->connect(m_endpoint, request, m_peer, deadline);
    const Core::Instant began = Core::steadyNow();
    try {
        Answer answer = co_await connection->exchange(request, m_peer, deadline);
        if (answer.isReusable)
            giveBack(std::move(connection), std::nullopt);
        co_return answer;
    } catch (const Core::Error &) {
        closeUnansweredSince(began);
        throw;
    }
}

Client::Pool::IdleConnection Client::Pool::takeFor(const Request &request)
{
    IdleConnection idle = takeIdle(request.requiredProcess);
    if (request.requiredProcess && !idle.connection)
        throw Core::NotDoneError(request.step, m_peer, "no connection to the process is idle");
    return idle;
}

Client::Pool::IdleConnection Client::Pool::takeIdle(std::optional<ServerProcess> process)
{
    // The one used last is the least likely to have gone silent.
    for (auto it = m_idle.rbegin(); it != m_idle.rend();) {
        if (process && it->process != process) {
            ++it;
            continue;
        }
        m_budget->removeIdle(it->position);
        IdleConnection idle = std::move(*it);
        it = std::make_reverse_iterator(m_idle.erase(std::next(it).base()));
        if (idle.connection->isQuiet())
            return idle;
    }
    return {};
}

void Client::Pool::giveBack(ConnectionPtr connection, std::optional<ServerProcess> process)
{
    if (m_idle.size() >= maximumIdleConnections)
        return;
    const Core::Instant now = Core::steadyNow();
    m_idle.push_back({ std::move(connection), now, m_budget->addIdle(*this, now), process });
}

void Client::Pool::noteProcess(ConnectionNumber connection, ServerProcess process)
{
    for (IdleConnection &idle : m_idle) {
        if (idle.connection->number() == connection)
            idle.process = process;
    }
    closeOthersThan(process);
}

void Client::Pool::closeOthersThan(ServerProcess process)
{
    std::erase_if(m_idle, [&](const IdleConnection &idle) {
        const bool isToOther = idle.process && idle.process != process;
        if (isToOther)
            m_budget->removeIdle(idle.position);
        return isToOther;
    });
}

bool Client::Pool::hasIdleConnectionTo(ServerProcess process) const
{
    return std::any_of(m_idle.begin(), m_idle.end(),
                       [process](const IdleConnection &idle) { return idle.process == process; });
}

void Client::Pool::closeUnansweredSince(Core::Instant began)
{
    while (!m_idle.empty() && m_idle.front().answeredAt < began)
        closeLongestIdle();
}

void Client::Pool::closeLongestIdle()
{
    m_budget->removeIdle(m_idle.front().position);
    m_idle.erase(m_idle.begin());
}

Client::Client(const asio::any_io_executor &executor, const Endpoint &endpoint)
    : Client(executor, endpoint, std::make_shared<ConnectionBudget>(maximumConnections),
             std::make_shared<DeadlineWatch>(executor))
{
}

Client::Client(const asio::any_io_executor &executor, const Endpoint &endpoint,
               std::shared_ptr<ConnectionBudget> budget, std::shared_ptr<DeadlineWatch> watch)
    : m_pool(std::make_shared<Pool>(executor, endpoint, std::move(budget), std::move(watch)))
{
}

Client::~Client() = default;

asio::awaitable<Answer> Client::exchange(Request request, Core::Instant deadline)
{
    return Pool::exchange(m_pool, std::move(request), deadline);
}

void Client::noteProcess(ConnectionNumber connection, ServerProcess process)
{
    m_pool->noteProcess(connection, process);
}

bool Client::hasIdleConnectionTo(ServerProcess process) const
{
    return m_pool->hasIdleConnectionTo(process);
}

asio::awaitable<std::string> Client::call(Request request, Core::Instant deadline)
{
    return Pool::call(m_pool, std::move(request), deadline);
}

} // namespace Http
