#pragma once

#include <LibJob/TaskName.h>

#include <boost/container/flat_set.hpp>

namespace Jobs {

/// The tasks on a worker: a few, which change with each run and are walked with each report, so
/// they lie in one block of memory. Changes invalidate all iterators.
using TaskNames = boost::container::flat_set<TaskName>;

} // namespace Jobs
