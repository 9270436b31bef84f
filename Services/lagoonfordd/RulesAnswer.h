#pragma once

#include <LibCore/Time.h>
#include <LibRules/FreshnessGate.h>
#include <LibRules/RuleReplica.h>

#include <json/value.h>

#include <optional>

namespace Daemon {

/// The result of the call `rules.get`: the rules that a peer has in force, the newest ones that it
/// has read from the log, and how old that read is. Texts that the caller already has are omitted.
class RulesAnswer
{
public:
    static constexpr const char *methodName = "rules.get";

    /// Returns the parameters of a call by a VM with \p replica.
    static Json::Value request(const Rules::RuleReplica &replica);
    /// Returns the answer of a VM with \p replica to a call with \p parameters.
    static RulesAnswer answer(const Json::Value &parameters, const Rules::RuleReplica &replica,
                              const Rules::FreshnessGate &freshness, Core::Instant now);

    Json::Value toJson() const;
    /// \throws Core::FormatError if \p value is malformed.
    static RulesAnswer fromJson(const Json::Value &value);

    /// Applies the answer to a call that was sent at \p askedAt.
    void applyTo(Rules::RuleReplica &replica, Rules::FreshnessGate &freshness,
                 Core::Instant askedAt) const;

private:
    std::uint64_t m_currentNumber = 0;
    /// The version in force, unless the caller has it.
    std::optional<Rules::RuleVersion> m_current;
    /// The version according to the log's records before `m_readThrough`, if the caller lacks some
    /// of them.
    std::optional<Rules::RuleVersion> m_logVersion;
    std::uint64_t m_readThrough = 0;
    /// The age of the read in microseconds; nothing if the log hasn't been read.
    std::optional<std::int64_t> m_age;
};

} // namespace Daemon
