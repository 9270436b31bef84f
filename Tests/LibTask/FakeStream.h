#pragma once

#include <LibCore/Time.h>
#include <LibTask/TaskRecord.h>
#include <LibTask/TaskTable.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Task::Testing {

struct Claim
{
    std::uint64_t epoch = 0;
};

/// One stream of the platform's log. It keeps the whole past so that tests can compare, and says
/// what is still retained.
class FakeStream
{
public:
    struct Entry
    {
        Core::Instant landedAt;
        /// A lease claim, or the JSON text of a task record.
        std::variant<Claim, std::string> body;
    };

    void claim(std::uint64_t epoch, Core::Instant now);
    void append(const std::vector<TaskRecord> &records, Core::Instant now);
    void expire(Core::Instant oldest);

    /// Feeds the entry at \p offset to \p reader, which has `onEpoch` and `onRecord`.
    template<typename Reader>
    void feed(std::uint64_t offset, Reader &reader, Core::Instant now) const
    {
        if (const auto *claimed = std::get_if<Claim>(&entries[offset].body))
            reader.onEpoch(offset, claimed->epoch);
        else
            reader.onRecord(offset, recordAt(offset), now);
    }
    TaskRecord recordAt(std::uint64_t offset) const;
    std::uint64_t end() const { return entries.size(); }

    std::vector<Entry> entries;
    std::uint64_t firstRetained = 0;
    /// The table of a reader that has read everything, with all guards.
    TaskTable truth;
};

} // namespace Task::Testing
