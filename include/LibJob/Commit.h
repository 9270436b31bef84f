#pragma once

#include <LibJob/JobRecord.h>

#include <cstdint>
#include <vector>

namespace Jobs {

/// The records of one append to the store.
struct Commit
{
    /// Counts the commits of one scheduler from 1.
    std::int64_t number = 0;
    /// May be empty: then the append only proves the ownership.
    std::vector<JobRecord> records;
};

} // namespace Jobs
