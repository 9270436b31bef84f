#include <LibCore/StableHash.h>

#include <xxhash.h>

namespace Core {

std::uint64_t stableHash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace Core
