#pragma once

namespace Control {

/// The exit statuses of lagoonctl, as docs/operators/LAGOONCTL.md lists them.
enum class ExitStatus {
    Success = 0,
    /// The daemon refused or failed; nothing was changed.
    Refused = 1,
    /// The command line, a file or a rule is wrong.
    BadInput = 2,
    /// No daemon answered.
    Unreachable = 3,
    /// Another operator's change came first.
    LostRace = 4,
    /// The change may or may not have taken effect.
    Unknown = 5,
};

} // namespace Control
