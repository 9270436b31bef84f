#pragma once

#include <cstdint>
#include <string_view>

namespace Core {

/// A hash of \p text that is the same on every VM, build and run. Not for untrusted text.
std::uint64_t stableHash(std::string_view text);

} // namespace Core
