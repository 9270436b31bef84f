#pragma once

#include <LibJob/SlowdownModel.h>

#include <string>
#include <unordered_map>

namespace Jobs {

/// Interns image names: assigns consecutive indices in the order of first use.
class ImageTable
{
public:
    ImageIndex indexOf(const std::string &image)
    {
        return m_indices.try_emplace(image, m_indices.size()).first->second;
    }

private:
    std::unordered_map<std::string, ImageIndex> m_indices;
};

} // namespace Jobs
