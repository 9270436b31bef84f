#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <unordered_map>

namespace Placement {

using ClassIndex = std::size_t;

/// Assigns consecutive indices to task classes in the order of their first use.
class ClassTable
{
public:
    /// Assigns the next index to a class that is new.
    ClassIndex indexOf(const Core::TaskClassId &taskClass);
    std::size_t size() const { return m_indices.size(); }

private:
    std::unordered_map<Core::TaskClassId, ClassIndex> m_indices;
};

} // namespace Placement
