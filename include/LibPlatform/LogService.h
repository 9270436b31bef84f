#pragma once

#include <LibCore/Time.h>

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Platform {

/// The position of a record in its stream; the first record of a stream has offset 0.
using Offset = std::uint64_t;

struct LogRecord
{
    Offset offset = 0;
    std::string body;

    auto operator<=>(const LogRecord &) const = default;
};

/// A sequence of consecutive records of a stream.
struct LogPage
{
    std::vector<LogRecord> records;
    /// The oldest offset that the service retains.
    Offset firstRetained = 0;
    /// The offset that the next append will get, as of this read.
    Offset end = 0;

    auto operator<=>(const LogPage &) const = default;
};

/// The platform's append-only log. Each stream is totally ordered; records expire after the
/// retention time.
class LogService
{
public:
    LogService() = default;
    LogService(const LogService &) = delete;
    LogService &operator=(const LogService &) = delete;
    virtual ~LogService() = default;

    /// Appends \p bodies as consecutive records, all or none, and returns the offset of the first.
    /// \throws Core::NotDoneError if certainly nothing was appended.
    /// \throws Core::OutcomeUnknownError if the records may have been, or may still be, appended.
    virtual boost::asio::awaitable<Offset>
    append(std::string stream, std::vector<std::string> bodies, Core::Instant deadline) = 0;

    /// Reads at most \p maximumRecords records from offset \p from on. A read below the retained
    /// range returns the records from the oldest retained one on.
    /// \throws Core::Error if the service can't be read before \p deadline.
    virtual boost::asio::awaitable<LogPage> read(std::string stream, Offset from,
                                                 std::size_t maximumRecords, Core::Instant deadline)
        = 0;
};

} // namespace Platform
