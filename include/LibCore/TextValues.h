#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Core {

/// Readers of values in text files; nothing if the text isn't such a value.

/// A whole number from \p least to \p most.
std::optional<std::int64_t> parseNumber(std::string_view text, std::int64_t least,
                                        std::int64_t most);
/// A size such as `512M` or `800G`, in mebibytes.
std::optional<std::int64_t> parseMebibytes(std::string_view text);
/// A length of time such as `500ms`, `30s`, `5m` or `2h`.
std::optional<Duration> parseDuration(std::string_view text);
/// Letters, digits, `-`, `_` and `.`, at most 64 of them.
bool isName(std::string_view text);

} // namespace Core
