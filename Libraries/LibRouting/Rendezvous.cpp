#include "Rendezvous.h"

#include <LibRouting/Random.h>

namespace Routing {

namespace {

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325U;
constexpr std::uint64_t fnvPrime = 0x100000001b3U;

std::uint64_t hashed(std::uint64_t state, const std::string &text)
{
    for (const char character : text)
        state = (state ^ static_cast<unsigned char>(character)) * fnvPrime;
    // A separator that occurs in no text, so that "ab" + "c" differs from "a" + "bc".
    return (state ^ 0xffU) * fnvPrime;
}

} // namespace

std::uint64_t rendezvousHash(const std::string &member, const Core::TeamId &team,
                             const std::string &key)
{
    std::uint64_t state = hashed(fnvOffset, key);
    state = hashed(state, team.text());
    state = hashed(state, member);
    // The high bits of FNV-1a hardly depend on the last characters, so the result is mixed once
    // more.
    return Random(state).next();
}

} // namespace Routing
