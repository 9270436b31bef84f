#pragma once

#include <LibCore/Identifier.h>
#include <LibRouting/KeyDecision.h>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Daemon {

/// The parameters of the call `keys.begin`, which asks whether a request may run under a key.
struct KeyBegin
{
    static constexpr const char *methodName = "keys.begin";

    Core::TeamId team;
    std::string key;
    Core::RequestId request;
    /// When the key was created, in Unix milliseconds; nothing if the key doesn't contain it.
    std::optional<std::int64_t> issuedAtUnixMs;

    bool operator==(const KeyBegin &) const = default;

    Json::Value toJson() const;
    /// \throws Core::FormatError if \p value is malformed.
    static KeyBegin fromJson(const Json::Value &value);
};

/// The parameters of the call `keys.finish`, which reports the outcome of a request with a key.
struct KeyFinish
{
    static constexpr const char *methodName = "keys.finish";

    Core::TeamId team;
    std::string key;
    Core::RequestId request;
    /// The answer; nothing if the request certainly hasn't run.
    std::optional<Routing::StoredOutcome> outcome;

    bool operator==(const KeyFinish &) const = default;

    Json::Value toJson() const;
    /// \throws Core::FormatError if \p value is malformed.
    static KeyFinish fromJson(const Json::Value &value);
};

/// A redirect to the VM that owns the key.
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
