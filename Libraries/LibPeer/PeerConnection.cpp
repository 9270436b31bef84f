#include "PeerConnection.h"

#include "PeerLimits.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace Peer {

namespace asio = boost::asio;
using boost::system::error_code;

PeerConnection::PeerConnection(asio::ip::tcp::socket socket, std::shared_ptr<std::uint64_t> nextId)
    : m_socket(std::move(socket))
    , m_heartbeatTimer(m_socket.get_executor())
    , m_nextId(std::move(nextId))
    , m_lastReceivedAt(Core::steadyNow())
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<void> PeerConnection::run()
{
    const auto self = shared_from_this();
    scheduleHeartbeat();
    std::array<char, readChunkBytes> chunk;
    while (!m_isClosed) {
        error_code error;
        const std::size_t length = co_await m_socket.async_read_some(
            asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close(error.message());
            co_return;
        }
        m_lastReceivedAt = Core::steadyNow();
        m_hasReceivedBytes = true;
        try {
            m_frames.append({ chunk.data(), length });
            while (const std::optional<std::string> frame = m_frames.takeFrame())
                handleResponse(*frame);
        } catch (const Core::FormatError &malformed) {
            close(malformed.what());
        }
    }
}

static std::string encodeRequest(std::uint64_t id, const std::string &method,
                                 const Json::Value &parameters)
{
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = Json::UInt64(id);
    request["method"] = method;
    if (!parameters.isNull())
        request["params"] = parameters;
    return Core::Json::write(request) + '\n';
}

std::shared_ptr<PendingCall> PeerConnection::makeCall(const std::string &method,
                                                      const Json::Value &parameters)
{
    auto call = std::make_shared<PendingCall>(m_socket.get_executor());
    call->id = (*m_nextId)++;
    call->frame = encodeRequest(call->id, method, parameters);
    return call;
}

std::shared_ptr<PendingCall> PeerConnection::send(const std::string &method,
                                                  const Json::Value &parameters,
                                                  Core::Instant deadline)
{
    if (m_isClosed || m_pending.size() >= maximumPendingCalls)
        return nullptr;
    auto call = makeCall(method, parameters);
    const bool isTooLong = call->frame.size() > maximumFrameBytes;
    if (isTooLong || m_queuedBytes + call->frame.size() > maximumQueuedBytes)
        return nullptr;
    call->timer.expires_at(Core::toSteadyTimePoint(deadline));
    m_pending.emplace(call->id, call);
    enqueue(call);
    return call;
}

void PeerConnection::enqueue(const std::shared_ptr<PendingCall> &call)
{
    m_queuedBytes += call->frame.size();
    m_queue.push_back(call);
    writeNext();
}

void PeerConnection::writeNext()
{
    if (m_isClosed || m_isWriting || m_queue.empty())
        return;
    const std::shared_ptr<PendingCall> call = m_queue.front();
    m_queue.pop_front();
    m_isWriting = true;
    call->stage = PendingCall::Stage::Sent;
    asio::async_write(m_socket, asio::buffer(call->frame),
                      [self = shared_from_this(), call](error_code error, std::size_t) {
                          self->m_isWriting = false;
                          self->m_queuedBytes -= call->frame.size();
                          if (error)
                              self->close(error.message());
                          self->writeNext();
                      });
}

void PeerConnection::removeCall(const std::shared_ptr<PendingCall> &call)
{
    m_pending.erase(call->id);
    const auto queued = std::find(m_queue.begin(), m_queue.end(), call);
    if (queued == m_queue.end())
        return;
    m_queuedBytes -= call->frame.size();
    m_queue.erase(queued);
}

void PeerConnection::handleResponse(const std::string &frame)
{
    const Json::Value response = Core::Json::parse(frame, "peer");
    if (!response.isObject() || !response["id"].isUInt64())
        throw Core::FormatError("read response", "peer", "the message isn't a response");
    const auto found = m_pending.find(response["id"].asUInt64());
    // The response is for a heartbeat, or the deadline of its call has passed.
    if (found == m_pending.end())
        return;
    const std::shared_ptr<PendingCall> call = found->second;
    if (call->stage != PendingCall::Stage::Sent)
        throw Core::FormatError("read response", "peer", "the request hasn't been sent yet");
    m_pending.erase(found);
    call->stage = PendingCall::Stage::ResponseReceived;
    call->response = response;
    call->timer.cancel();
}

void PeerConnection::scheduleHeartbeat()
{
    m_heartbeatTimer.expires_after(heartbeatInterval);
    m_heartbeatTimer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->m_isClosed)
            self->sendHeartbeatIfIdle();
    });
}

void PeerConnection::sendHeartbeatIfIdle()
{
    const Core::Duration silentFor = Core::steadyNow() - m_lastReceivedAt;
    if (silentFor >= clientReceiveTimeout) {
        close("the peer hasn't sent any data in time");
        return;
    }
    // No heartbeat is needed if another request is about to be sent.
    if (silentFor >= heartbeatInterval && m_queue.empty() && !m_isWriting)
        enqueue(makeCall(heartbeatMethod, {}));
    scheduleHeartbeat();
}

void PeerConnection::close(const std::string &reason)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    error_code ignored;
    // Discards unsent data, so that requests that have failed here don't reach the peer much later.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_heartbeatTimer.cancel();
    const auto pending = std::exchange(m_pending, {});
    m_queue.clear();
    for (const auto &[id, call] : pending) {
        const bool isUnsent = call->stage == PendingCall::Stage::Queued;
        call->stage = isUnsent ? PendingCall::Stage::NeverSent : PendingCall::Stage::NoResponse;
        call->reason = reason;
        call->timer.cancel();
    }
}

} // namespace Peer
