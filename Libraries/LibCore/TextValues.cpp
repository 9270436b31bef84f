#include <LibCore/TextValues.h>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace Core {

static constexpr std::int64_t maxNumber = 1'000'000'000;
static constexpr std::size_t maxNameLength = 64;

std::optional<std::int64_t> parseNumber(std::string_view text, std::int64_t minimum,
                                        std::int64_t maximum)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    if (number < minimum || number > maximum)
        return std::nullopt;
    return number;
}

std::optional<std::int64_t> parseMebibytes(std::string_view text)
{
    if (text.empty())
        return std::nullopt;
    const auto number = parseNumber(text.substr(0, text.size() - 1), 0, maxNumber);
    if (!number)
        return std::nullopt;
    switch (text.back()) {
    case 'M':
        return *number;
    case 'G':
        return *number * 1024;
    case 'T':
        return *number * 1024 * 1024;
    default:
        return std::nullopt;
    }
}

std::optional<Duration> parseDuration(std::string_view text)
{
    const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto number = parseNumber(text.substr(0, digits), 0, maxNumber);
    if (!number)
        return std::nullopt;
    const std::string_view unit = text.substr(digits);
    if (unit == "ms")
        return std::chrono::milliseconds(*number);
    if (unit == "s")
        return std::chrono::seconds(*number);
    if (unit == "m")
        return std::chrono::minutes(*number);
    if (unit == "h")
        return std::chrono::hours(*number);
    return std::nullopt;
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameLength)
        return false;
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-' || character == '_'
            || character == '.';
    });
}

} // namespace Core
