#pragma once

#include <LibCore/Time.h>
#include <LibRules/FreshnessGate.h>
#include <LibRules/RuleBook.h>

#include <json/value.h>

#include <optional>

namespace Daemon {

/// The result of the call `rules.get`: what a peer has in force, what its log reading says, and how
/// old that reading is. Texts that the asker already has are left out.
class RulesAnswer
{
public:
    static constexpr const char *methodName = "rules.get";

    /// The parameters of a call by an owner of \p book.
    static Json::Value request(const Rules::RuleBook &book);
    /// The answer of an owner of \p book to a call with \p parameters.
    static RulesAnswer answer(const Json::Value &parameters, const Rules::RuleBook &book,
                              const Rules::FreshnessGate &freshness, Core::Instant now);

    Json::Value toJson() const;
    /// \throws Core::FormatError if \p value is malformed.
    static RulesAnswer fromJson(const Json::Value &value);

    /// Lets an asker learn from the answer to a call made at \p askedAt.
    void applyTo(Rules::RuleBook &book, Rules::FreshnessGate &freshness,
                 Core::Instant askedAt) const;

private:
    std::uint64_t m_currentNumber = 0;
    /// The version in force, if the asker hasn't got it.
    std::optional<Rules::RuleVersion> m_current;
    /// The version by the log's records below `m_readThrough`, if the asker has a gap.
    std::optional<Rules::RuleVersion> m_logVersion;
    std::uint64_t m_readThrough = 0;
    /// How old the reading is, in microseconds; nothing if there is none.
    std::optional<std::int64_t> m_age;
};

} // namespace Daemon
