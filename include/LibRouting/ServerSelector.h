#pragma once

#include <LibCore/Time.h>
#include <LibRouting/Random.h>
#include <LibRouting/RouterSettings.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace Routing {

/// A backend server that may get one more request.
struct ServerCandidate
{
    /// Its place in the caller's list of servers.
    std::size_t index = 0;
    /// Our requests in work there; those of other entry VMs aren't known.
    int inWork = 0;
    Core::Duration serviceTime {};
    /// Recent failures as a part of the breaker's window.
    double failureRatio = 0;

    bool operator==(const ServerCandidate &) const = default;
};

/// Chooses one of several candidates.
class ServerSelector
{
public:
    static std::unique_ptr<ServerSelector> create(SelectionPolicy policy);
    virtual ~ServerSelector() = default;

    /// The position in \p candidates, which isn't empty and is ordered by index.
    virtual std::size_t choose(const std::vector<ServerCandidate> &candidates, Random &random) = 0;
};

} // namespace Routing
