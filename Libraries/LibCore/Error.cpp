#include <LibCore/Error.h>

#include <utility>

namespace Core {

Error::Error(std::string step, std::string peer, const std::string &reason)
    : std::runtime_error(step + " (" + peer + "): " + reason)
    , m_step(std::move(step))
    , m_peer(std::move(peer))
{
}

} // namespace Core
