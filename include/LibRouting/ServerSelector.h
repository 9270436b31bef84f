#pragma once

#include <LibCore/Time.h>
#include <LibRouting/Random.h>
#include <LibRouting/RouterSettings.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace Routing {

/// A backend server that may get another request.
struct ServerCandidate
{
    /// Index in the caller's list of servers.
    std::size_t index = 0;
    /// Number of this VM's requests in progress there; those of other entry VMs aren't known.
    int inWork = 0;
    Core::Duration serviceTime {};
    /// Recent failures as a fraction of the circuit breaker's window.
    double failureRatio = 0;

    bool operator==(const ServerCandidate &) const = default;
};

/// Chooses one of several candidates.
class ServerSelector
{
public:
    static std::unique_ptr<ServerSelector> create(SelectionPolicy policy);
    virtual ~ServerSelector() = default;

    /// Returns a position in \p candidates, which must not be empty and must be ordered by index.
    virtual std::size_t choose(const std::vector<ServerCandidate> &candidates, Random &random) = 0;
};

} // namespace Routing
