#pragma once

namespace Platform {

/// How a worker ends an attempt on command.
enum class StopMode {
    /// Write a checkpoint first, then stop.
    Checkpoint,
    Kill,
};

} // namespace Platform
