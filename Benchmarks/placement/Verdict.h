#pragma once

namespace PlacementBenchmark {

inline const char *verdict(bool isMet)
{
    return isMet ? "met" : "NOT MET";
}

} // namespace PlacementBenchmark
