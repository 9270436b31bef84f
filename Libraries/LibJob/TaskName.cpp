#include <LibJob/TaskName.h>

#include <charconv>

namespace Jobs {

std::string TaskName::text() const
{
    std::string text(job.view());
    for (const int number : { occurrence, step, index }) {
        text += '.';
        text += std::to_string(number);
    }
    return text;
}

/// Parses the number after the last dot of \p text, and removes both from \p text. Returns false if
/// there is no such number.
static bool takeLastNumber(std::string_view &text, int &number)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return false;
    const char *begin = text.data() + dot + 1;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(begin, end, number);
    if (error != std::errc() || stop != end || number < 0)
        return false;
    text.remove_suffix(text.size() - dot);
    return true;
}

std::optional<TaskName> TaskName::parse(std::string_view text)
{
    TaskName name;
    const bool isComplete = takeLastNumber(text, name.index) && takeLastNumber(text, name.step)
        && takeLastNumber(text, name.occurrence);
    if (!isComplete || text.empty())
        return std::nullopt;
    name.job = JobId(text);
    return name;
}

} // namespace Jobs
