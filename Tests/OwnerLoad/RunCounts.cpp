#include "RunCounts.h"

#include <fstream>
#include <map>
#include <stdexcept>

RunCounts RunCounts::read(const std::string &path)
{
    std::ifstream file(path);
    std::map<std::string, double> counts;
    std::string name;
    double count = 0;
    while (file >> name >> count)
        counts[name] = count;
    const auto countOf = [&counts, &path](const std::string &part) {
        const auto found = counts.find(part);
        if (found == counts.end())
            throw std::runtime_error(path + ": the count of " + part + " is missing");
        return found->second;
    };
    RunCounts read;
    read.start = countOf("start");
    read.renewal = countOf("renewal");
    read.decisions = countOf("decisions");
    return read;
}
