#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <unordered_map>

namespace Placement {

using ClassIndex = std::size_t;

/// Numbers the task classes in the order in which they are first seen.
class ClassTable
{
public:
    ClassIndex indexOf(const Core::TaskClassId &taskClass);
    std::size_t size() const { return m_indices.size(); }

private:
    std::unordered_map<Core::TaskClassId, ClassIndex> m_indices;
};

} // namespace Placement
