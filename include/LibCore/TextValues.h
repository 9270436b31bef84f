#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Core {

/// Parsers of values in text files. They return nothing if the text isn't valid.

/// An integer from \p minimum to \p maximum.
std::optional<std::int64_t> parseNumber(std::string_view text, std::int64_t minimum,
                                        std::int64_t maximum);
/// A size such as `512M` or `800G`, in mebibytes.
std::optional<std::int64_t> parseMebibytes(std::string_view text);
/// A length of time such as `500ms`, `30s`, `5m` or `2h`.
std::optional<Duration> parseDuration(std::string_view text);
/// True for 1 to 64 characters out of letters, digits, `-`, `_` and `.`.
bool isName(std::string_view text);

} // namespace Core
