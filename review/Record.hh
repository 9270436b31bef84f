/// What was sent, answered and run, with the time since the start.
#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace StandIn {

class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path, std::ios::trunc)
        , m_beganAt(std::chrono::steady_clock::now())
    {
    }

    double now() const
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_beganAt).count();
    }

    void note(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now());
        m_file << time << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_beganAt;
};

} // namespace StandIn
