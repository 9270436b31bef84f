#pragma once

#include <LibCore/Identifier.h>

#include <boost/container/flat_set.hpp>

namespace Jobs {

/// The workers of a job. An owner copies them with each commit, so they lie in one block of memory.
using WorkerIds = boost::container::flat_set<Core::VmId>;

} // namespace Jobs
