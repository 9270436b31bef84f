#pragma once

namespace Control {

/// The exit statuses of lagoonctl, as docs/operators/LAGOONCTL.md lists them.
enum class ExitStatus {
    Success = 0,
    /// The daemon rejected the command or failed; nothing was changed.
    Refused = 1,
    /// The command line, a file or a rule is invalid.
    BadInput = 2,
    /// No daemon could be reached.
    Unreachable = 3,
    /// The change conflicts with another operator's.
    LostRace = 4,
    /// The change may or may not have taken effect.
    Unknown = 5,
};

} // namespace Control
