#pragma once

#include <LibCore/Identifier.h>

#include <string>

namespace Rules {

/// Returns \p text with a rule that takes \p failureDomain out, or brings it back, on behalf of
/// \p requestedBy. The rule replaces the existing one of that failure domain, or is appended; every
/// other line is unchanged.
std::string withDomainRule(const std::string &text, const Core::FailureDomainId &failureDomain,
                           bool isOut, const std::string &requestedBy);

} // namespace Rules
