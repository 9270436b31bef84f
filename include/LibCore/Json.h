#pragma once

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Core::Json {

/// The largest JSON text that is accepted, in bytes.
inline constexpr std::size_t maximumTextBytes = 4 * 1024 * 1024;

/// Limits on the JSON text of a client, which are checked before it is decoded: a decoded value
/// takes up to a hundred times the bytes of its text.
struct ClientLimits
{
    /// The separators and opening brackets outside of strings, plus one.
    std::size_t values = 16'384;
    std::size_t depth = 16;
    /// The characters of a number or of a word outside of strings.
    std::size_t wordLength = 64;
};

/// \throws FormatError if \p text exceeds \p limits. Doesn't check whether it is JSON.
void checkLimits(std::string_view text, const std::string &peer, const ClientLimits &limits = {});

/// Parses \p text strictly. \p peer names its origin in errors.
/// \throws FormatError if the text isn't a JSON document, is nested too deeply or is too long.
::Json::Value parse(std::string_view text, const std::string &peer);

/// Writes \p value on one line.
std::string write(const ::Json::Value &value);

/// Typed access to the members of an object. \throws FormatError naming the member.
std::string stringMember(const ::Json::Value &object, const char *name);
std::int64_t integerMember(const ::Json::Value &object, const char *name);
bool booleanMember(const ::Json::Value &object, const char *name);
const ::Json::Value &arrayMember(const ::Json::Value &object, const char *name);

} // namespace Core::Json
