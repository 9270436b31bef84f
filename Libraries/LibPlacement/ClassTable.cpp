#include <LibPlacement/ClassTable.h>

namespace Placement {

ClassIndex ClassTable::indexOf(const Core::TaskClassId &taskClass)
{
    return m_indices.try_emplace(taskClass, m_indices.size()).first->second;
}

} // namespace Placement
