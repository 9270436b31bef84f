#include <LibHttp/Client.h>

#include "Connection.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <algorithm>
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
class Client::Pool final : public std::enable_shared_from_this<Pool>, public IdleConnectionOwner
{
public:
    Pool(asio::any_io_executor executor, const Endpoint &endpoint,
         std::shared_ptr<ConnectionBudget> budget);
    ~Pool() override;
    Pool(const Pool &) = delete;
    Pool &operator=(const Pool &) = delete;

    asio::awaitable<std::string> call(Request request, Core::Instant deadline);
    asio::awaitable<Answer> exchange(Request request, Core::Instant deadline);
    void closeLongestIdle() override;

private:
    using ConnectionPtr = std::unique_ptr<Connection>;

    struct IdleConnection
    {
        ConnectionPtr connection;
        Core::Instant answeredAt;
        ConnectionBudget::IdlePosition position;
    };

    ConnectionPtr takeIdle();
    /// Returns null if the connection isn't idle, or has been closed.
    ConnectionPtr takeIdle(ConnectionNumber number);
    asio::awaitable<Answer> exchange(ConnectionPtr connection, const Request &request,
                                     Core::Instant deadline);
    asio::awaitable<Answer> exchangeOnNew(const Request &request, Core::Instant deadline);
    asio::awaitable<Answer> exchangeOnRequired(const Request &request, Core::Instant deadline);
    /// Sets \p isInDoubt if a sending failed without a whole answer and another followed.
    asio::awaitable<Answer> exchangeOnAny(const Request &request, Core::Instant deadline,
                                          bool &isInDoubt);
    void giveBack(ConnectionPtr connection);
    /// Closes the idle connections that haven't answered since \p began.
    void closeUnansweredSince(Core::Instant began);

    asio::any_io_executor m_executor;
    asio::ip::tcp::endpoint m_endpoint;
    std::string m_peer;
    std::shared_ptr<ConnectionBudget> m_budget;
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
                   std::shared_ptr<ConnectionBudget> budget)
    : m_executor(std::move(executor))
    , m_endpoint(parseEndpoint(endpoint))
    , m_peer(endpoint.address + ":" + std::to_string(endpoint.port))
    , m_budget(std::move(budget))
{
    m_budget->addPeer();
}

Client::Pool::~Pool()
{
    for (const IdleConnection &idle : m_idle)
        m_budget->removeIdle(idle.position);
    m_budget->removePeer();
}

asio::awaitable<Answer> Client::Pool::exchange(Request request, Core::Instant deadline)
{
    const Core::Instant now = Core::steadyNow();
    if (deadline <= now)
        throw Core::NotDoneError(request.step, m_peer, "the deadline has passed");
    if (m_callsUnderWay >= maximumConnections)
        throw Core::NotDoneError(request.step, m_peer, "too many calls are under way");
    m_budget->closeExpired(now, maxExpiredPerCall);
    if (!m_budget->tryBeginCall(request.connectionUse))
        throw Core::NotDoneError(request.step, m_peer, "the connection budget is exhausted");
    const CallUnderWay callUnderWay(m_callsUnderWay, *m_budget, request.connectionUse);

    bool isInDoubt = false;
    try {
        Answer answer = co_await exchangeOnAny(request, deadline, isInDoubt);
        // The second sending was refused, but the first may have been carried out.
        if (isInDoubt && !answer.isSuccess())
            throw Core::OutcomeUnknownError(request.step, m_peer, describe(answer));
        co_return answer;
    } catch (const Core::NotDoneError &error) {
        if (isInDoubt)
            throw Core::OutcomeUnknownError(request.step, m_peer, error.what());
        throw;
    }
}

asio::awaitable<std::string> Client::Pool::call(Request request, Core::Instant deadline)
{
    const std::string step = request.step;
    Answer answer = co_await exchange(std::move(request), deadline);
    if (answer.isSuccess())
        co_return std::move(answer.body);
    if (answer.status >= 400 && answer.status < 500)
        throw Core::NotDoneError(step, m_peer, describe(answer));
    throw Core::OutcomeUnknownError(step, m_peer, describe(answer));
}

asio::awaitable<Answer> Client::Pool::exchangeOnAny(const Request &request, Core::Instant deadline,
                                                    bool &isInDoubt)
{
    if (request.requiredConnection)
        co_return co_await exchangeOnRequired(request, deadline);
    ConnectionPtr idle = takeIdle();
    if (!idle)
        co_return co_await exchangeOnNew(request, deadline);
    try {
        co_return co_await exchange(std::move(idle), request, deadline);
    } catch (const Core::NotDoneError &) {
        // Nothing was sent: a new connection may do better.
    } catch (const Core::OutcomeUnknownError &) {
        if (!request.isIdempotent || Core::steadyNow() >= deadline)
            throw;
        isInDoubt = true;
    }
    co_return co_await exchangeOnNew(request, deadline);
}

asio::awaitable<Answer> Client::Pool::exchangeOnRequired(const Request &request,
                                                         Core::Instant deadline)
{
    ConnectionPtr required = takeIdle(*request.requiredConnection);
    if (!required)
        throw Core::NotDoneError(request.step, m_peer, "the required connection isn't idle");
    co_return co_await exchange(std::move(required), request, deadline);
}

asio::awaitable<Answer> Client::Pool::exchangeOnNew(const Request &request, Core::Instant deadline)
{
    if (!m_budget->tryOpen())
        throw Core::NotDoneError(request.step, m_peer, "the connection budget is exhausted");
    auto connection
        = std::make_unique<Connection>(m_executor, ConnectionSlot(m_budget), ++m_lastConnection);
    co_await connection->connect(m_endpoint, request, m_peer, deadline);
    co_return co_await exchange(std::move(connection), request, deadline);
}

asio::awaitable<Answer> Client::Pool::exchange(ConnectionPtr connection, const Request &request,
                                               Core::Instant deadline)
{
    const Core::Instant began = Core::steadyNow();
    try {
        Answer answer = co_await connection->exchange(request, m_peer, deadline);
        if (answer.isReusable)
            giveBack(std::move(connection));
        co_return answer;
    } catch (const Core::Error &) {
        // Whatever silenced or broke this connection may have done the same to the unused ones,
        // but not to those that have answered meanwhile.
        closeUnansweredSince(began);
        throw;
    }
}

Client::Pool::ConnectionPtr Client::Pool::takeIdle()
{
    while (!m_idle.empty()) {
        // The one used last is the least likely to have gone silent.
        m_budget->removeIdle(m_idle.back().position);
        ConnectionPtr connection = std::move(m_idle.back().connection);
        m_idle.pop_back();
        if (connection->isQuiet())
            return connection;
    }
    return nullptr;
}

Client::Pool::ConnectionPtr Client::Pool::takeIdle(ConnectionNumber number)
{
    const auto found
        = std::find_if(m_idle.begin(), m_idle.end(), [number](const IdleConnection &idle) {
              return idle.connection->number() == number;
          });
    if (found == m_idle.end())
        return nullptr;
    m_budget->removeIdle(found->position);
    ConnectionPtr connection = std::move(found->connection);
    m_idle.erase(found);
    return connection->isQuiet() ? std::move(connection) : nullptr;
}

void Client::Pool::giveBack(ConnectionPtr connection)
{
    if (m_idle.size() >= maximumIdleConnections)
        return;
    const Core::Instant now = Core::steadyNow();
    m_idle.push_back({ std::move(connection), now, m_budget->addIdle(*this, now) });
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
    : Client(executor, endpoint, std::make_shared<ConnectionBudget>(maximumConnections))
{
}

Client::Client(const asio::any_io_executor &executor, const Endpoint &endpoint,
               std::shared_ptr<ConnectionBudget> budget)
    : m_pool(std::make_shared<Pool>(executor, endpoint, std::move(budget)))
{
}

Client::~Client() = default;

asio::awaitable<Answer> Client::exchange(Request request, Core::Instant deadline)
{
    const std::shared_ptr<Pool> pool = m_pool;
    co_return co_await pool->exchange(std::move(request), deadline);
}

asio::awaitable<std::string> Client::call(Request request, Core::Instant deadline)
{
    const std::shared_ptr<Pool> pool = m_pool;
    co_return co_await pool->call(std::move(request), deadline);
}

} // namespace Http
