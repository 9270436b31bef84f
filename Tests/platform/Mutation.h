#pragma once

#include <random>
#include <string>

/// Returns \p text after 1 to 4 random changes: a byte replaced, bytes removed or inserted, or the
/// rest cut off.
inline std::string mutate(const std::string &text, std::mt19937 &random)
{
    std::string mutated = text;
    const auto below = [&random](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    const std::size_t changes = 1 + below(4);
    for (std::size_t i = 0; i < changes && !mutated.empty(); ++i) {
        const std::size_t position = below(mutated.size());
        switch (below(4)) {
        case 0:
            mutated[position] = static_cast<char>(below(256));
            break;
        case 1:
            mutated.erase(position, 1 + below(8));
            break;
        case 2:
            mutated.insert(position, text.substr(below(text.size()), below(16)));
            break;
        default:
            mutated.resize(position);
        }
    }
    return mutated;
}
