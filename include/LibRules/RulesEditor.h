#pragma once

#include <LibCore/Identifier.h>

#include <string>

namespace Rules {

/// Returns \p text with the rule that takes \p failureDomain out, or brings it back, on behalf of
/// \p requestedBy. It replaces the line that there is, or comes last; every other line stays as it
/// is.
std::string withDomainRule(const std::string &text, const Core::FailureDomainId &failureDomain,
                           bool isOut, const std::string &requestedBy);

} // namespace Rules
