#include <LibSite/SnapshotBytes.h>

namespace Site {

void SnapshotBytes::add(const Jobs::StoredRecord &record)
{
    const std::size_t size = record.key.size() + record.value.size();
    if (record.key.starts_with("s/"))
        submissions += size;
    else if (record.key.starts_with("p/"))
        progress += size;
    else if (record.key.starts_with("w/"))
        workers += size;
    else
        others += size;
}

std::ostream &operator<<(std::ostream &stream, const SnapshotBytes &bytes)
{
    return stream << "submission_bytes=" << bytes.submissions
                  << " progress_bytes=" << bytes.progress << " worker_bytes=" << bytes.workers
                  << " other_bytes=" << bytes.others;
}

} // namespace Site
