#pragma once

#include <LibLog/Logging.h>

#include <log4cxx/basicconfigurator.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// Takes the log while it exists.
class LogPipe
{
public:
    explicit LogPipe(const Log::BudgetLimits &limits)
    {
        if (::pipe2(m_ends.data(), O_CLOEXEC) != 0)
            throw std::runtime_error("pipe2");
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        Log::configureLogging("INFO", m_ends[1], limits);
    }
    LogPipe(const LogPipe &) = delete;
    LogPipe &operator=(const LogPipe &) = delete;
    ~LogPipe()
    {
        log4cxx::BasicConfigurator::resetConfiguration();
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    /// What was written since the last call, each line without its time.
    std::vector<std::string> takeLines()
    {
        std::string text;
        std::array<char, 4096> part {};
        ssize_t size = 0;
        while ((size = ::read(m_ends[0], part.data(), part.size())) > 0)
            text.append(part.data(), static_cast<std::size_t>(size));
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line.starts_with("log: ") ? line : line.substr(timeLength));
        return lines;
    }
    /// Writes until nothing more fits before the reader takes it.
    void fill()
    {
        ::fcntl(m_ends[1], F_SETFL, O_NONBLOCK);
        const std::string line = std::string(99, '-') + '\n';
        while (::write(m_ends[1], line.data(), line.size()) > 0) {
        }
        ::fcntl(m_ends[1], F_SETFL, 0);
    }

private:
    static constexpr std::size_t timeLength = std::string_view("2000-01-01 00:00:00.000 ").size();

    std::array<int, 2> m_ends {};
};
