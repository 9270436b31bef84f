#pragma once

namespace Core {

/// The version of the programs, as `--version` prints it.
inline constexpr const char *versionText = "0.1.0";

} // namespace Core
