#pragma once

#include "KeyMessages.h"
#include "Node.h"

#include <LibRouting/KeyOwnership.h>
#include <LibRouting/KeyTable.h>

namespace Daemon {

/// Asks the owner of a caller's key whether a request may run, and tells it how the request ended.
/// The owner is one entry VM of the key's home failure domain.
class KeyService
{
public:
    explicit KeyService(Node &node);

    /// Decides at the owner, wherever that is. What can't be asked for is refused, since nothing
    /// has run yet.
    boost::asio::awaitable<Routing::KeyDecision> begin(KeyBegin begin, Core::Instant deadline);
    boost::asio::awaitable<void> finish(KeyFinish finish);

    /// Answers peers.
    KeyAnswer onBegin(const KeyBegin &begin, Core::Instant now);
    void onFinish(const KeyFinish &finish, Core::Instant now);

    /// Follows the membership of the failure domain and forgets old keys.
    void refresh(Core::Instant now);

private:
    boost::asio::awaitable<KeyAnswer> ask(Core::VmId vm, KeyBegin begin, Core::Instant deadline);
    /// The VM to ask first about a key whose home is another failure domain.
    Core::VmId someVmOf(const Core::FailureDomainId &failureDomain) const;

    Node &m_node;
    Routing::KeyOwnership m_ownership;
    Routing::KeyTable m_table;
    std::uint64_t m_settledVersion = 0;
    Core::Instant m_settledAt;
};

/// When a key in the form of a UUIDv7 was made, in milliseconds since 1970; nothing for any other
/// key. RFC 9562, section 5.7: https://www.rfc-editor.org/rfc/rfc9562#section-5.7
std::optional<std::int64_t> issueTimeOf(const std::string &key);

} // namespace Daemon
