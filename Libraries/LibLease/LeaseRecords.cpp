#include <LibLease/LeaseRecords.h>

namespace Lease {

const std::string &recordId(const LeaseRecord &record)
{
    return std::visit([](const auto &alternative) -> const std::string & { return alternative.id; },
                      record);
}

} // namespace Lease
