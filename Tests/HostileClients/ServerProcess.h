#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

/// A process of the project that a test starts and ends.
class ServerProcess
{
public:
    explicit ServerProcess(const std::vector<std::string> &command);
    /// Kills the process.
    ~ServerProcess();
    ServerProcess(const ServerProcess &) = delete;
    ServerProcess &operator=(const ServerProcess &) = delete;

    bool isAlive() const;
    /// Current and peak resident memory in MiB.
    double residentMebibytes() const { return statusMebibytes("VmRSS:"); }
    double peakMebibytes() const { return statusMebibytes("VmHWM:"); }
    std::size_t openDescriptors() const;

private:
    double statusMebibytes(const std::string &field) const;

    pid_t m_id = -1;
};
