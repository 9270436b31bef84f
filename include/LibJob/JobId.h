#pragma once

#include <boost/container/string.hpp>

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace Jobs {

/// The name of a job.
///
/// Names of up to 22 bytes are held in the object, so that copies don't allocate memory: a job's
/// name has 16 digits, and std::string holds 15 at most.
class JobId
{
public:
    JobId() = default;
    explicit JobId(std::string_view text)
        : m_text(text.data(), text.size())
    {
    }

    std::string text() const { return std::string(view()); }
    /// Valid until the object is changed.
    std::string_view view() const { return { m_text.data(), m_text.size() }; }
    bool isEmpty() const { return m_text.empty(); }

    bool operator==(const JobId &other) const { return view() == other.view(); }
    std::strong_ordering operator<=>(const JobId &other) const { return view() <=> other.view(); }

private:
    boost::container::string m_text;
};

inline std::ostream &operator<<(std::ostream &stream, const JobId &id)
{
    return stream << id.view();
}

} // namespace Jobs

template<>
struct std::hash<Jobs::JobId>
{
    std::size_t operator()(const Jobs::JobId &id) const noexcept
    {
        return std::hash<std::string_view>()(id.view());
    }
};
