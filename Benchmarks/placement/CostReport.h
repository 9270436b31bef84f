#pragma once

namespace PlacementBenchmark {

/// Prints what decisions cost from 50 to 6,600 workers, beside the stated targets.
void reportCost();

} // namespace PlacementBenchmark
