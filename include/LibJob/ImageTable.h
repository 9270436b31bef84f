#pragma once

#include <LibJob/PressureModel.h>

#include <string>
#include <unordered_map>

namespace Jobs {

/// Numbers the names of images in the order in which they come.
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
