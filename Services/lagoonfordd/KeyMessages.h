#pragma once

#include <LibCore/Identifier.h>
#include <LibRouting/KeyDecision.h>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Daemon {

/// The parameters of the call `keys.begin`: may this request run under this key?
struct KeyBegin
{
    static constexpr const char *methodName = "keys.begin";

    Core::TeamId team;
    std::string key;
    Core::RequestId request;
    /// When the key was made, in milliseconds since 1970; nothing if the key doesn't tell.
    std::optional<std::int64_t> issuedAtUnixMs;

    bool operator==(const KeyBegin &) const = default;

    Json::Value toJson() const;
    /// \throws Core::FormatError if \p value is malformed.
    static KeyBegin fromJson(const Json::Value &value);
};

/// The parameters of the call `keys.finish`: how the request that ran under the key has ended.
struct KeyFinish
{
    static constexpr const char *methodName = "keys.finish";

    Core::TeamId team;
    std::string key;
    Core::RequestId request;
    /// Nothing if the request certainly didn't run.
    std::optional<Routing::StoredOutcome> outcome;

    bool operator==(const KeyFinish &) const = default;

    Json::Value toJson() const;
    /// \throws Core::FormatError if \p value is malformed.
    static KeyFinish fromJson(const Json::Value &value);
};

/// Ask this VM instead; it owns the key.
struct KeyRedirect
{
    Core::VmId owner;

    bool operator==(const KeyRedirect &) const = default;
};

/// The result of `keys.begin`.
using KeyAnswer = std::variant<Routing::KeyDecision, KeyRedirect>;

Json::Value keyAnswerToJson(const KeyAnswer &answer);
/// \throws Core::FormatError if \p value is malformed.
KeyAnswer keyAnswerFromJson(const Json::Value &value);

} // namespace Daemon
