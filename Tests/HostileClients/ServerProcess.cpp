#include "ServerProcess.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

ServerProcess::ServerProcess(const std::vector<std::string> &command)
{
    std::vector<std::string> copies = command;
    std::vector<char *> arguments;
    arguments.reserve(copies.size() + 1);
    for (std::string &argument : copies)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    const int error
        = posix_spawn(&m_id, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("can't start " + command.front());
}

ServerProcess::~ServerProcess()
{
    kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
}

bool ServerProcess::isAlive() const
{
    siginfo_t info {};
    const int error = waitid(P_PID, static_cast<id_t>(m_id), &info, WEXITED | WNOHANG | WNOWAIT);
    return error == 0 && info.si_pid == 0;
}

double ServerProcess::statusMebibytes(const std::string &field) const
{
    constexpr double kibibytesPerMebibyte = 1024;
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    std::string word;
    while (status >> word) {
        double kibibytes = 0;
        if (word == field && status >> kibibytes)
            return kibibytes / kibibytesPerMebibyte;
    }
    throw std::runtime_error("the process has no " + field);
}

std::size_t ServerProcess::openDescriptors() const
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_id) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}
