#pragma once

#include "KeyMessages.h"
#include "Node.h"

#include <LibRouting/KeyOwnership.h>
#include <LibRouting/KeyTable.h>

namespace Daemon {

/// Asks the owner of a caller's idempotency key whether a request may run, and reports the outcome
/// of the request to it. The owner is one entry VM of the key's home failure domain.
class KeyService
{
public:
    explicit KeyService(Node &node);

    /// Gets the decision of the key's owner. A request whose owner can't be reached is refused,
    /// since nothing has run yet.
    boost::asio::awaitable<Routing::KeyDecision> begin(KeyBegin begin, Core::Instant deadline);
    boost::asio::awaitable<void> finish(KeyFinish finish);

    /// Handles the calls `keys.begin` and `keys.finish` of peers.
    KeyAnswer onBegin(const KeyBegin &begin, Core::Instant now);
    void onFinish(const KeyFinish &finish, Core::Instant now);

    /// Applies changes of the failure domain's membership, and deletes expired keys.
    void refresh(Core::Instant now);

private:
    boost::asio::awaitable<KeyAnswer> ask(Core::VmId vm, KeyBegin begin, Core::Instant deadline);
    /// Returns the VM that is asked first about a key whose home is another failure domain.
    Core::VmId someVmOf(const Core::FailureDomainId &failureDomain) const;

    Node &m_node;
    Routing::KeyOwnership m_ownership;
    Routing::KeyTable m_table;
    std::uint64_t m_settledVersion = 0;
    Core::Instant m_settledAt;
};

/// Returns the creation time of a UUIDv7 key in Unix milliseconds; nothing for any other key. RFC
/// 9562, section 5.7: https://www.rfc-editor.org/rfc/rfc9562#section-5.7
std::optional<std::int64_t> issueTimeOf(const std::string &key);

} // namespace Daemon
