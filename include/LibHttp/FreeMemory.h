#pragma once

namespace Http {

/// Gives memory that has been freed back to the system, which the allocators otherwise keep. Takes
/// some milliseconds.
void returnFreeMemory();

} // namespace Http
