/// A daemon of the operators' platform as a process of its own, for the programs that check real
/// processes. It is ended by its process id.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace zinniaferry::test_support
{

/// A directory that is removed at the end.
struct temporary_folder
{
    explicit temporary_folder(const std::string& name)
        : path(std::filesystem::temp_directory_path() /
               fmt::format("{}-{}-{}", name, ::getpid(), ++count))
    {
        std::filesystem::create_directories(path);
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    std::filesystem::path path;
    static inline int count = 0;
};

/// Returns a loopback port that nothing listens on.
inline std::uint16_t free_port()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor acceptor(io,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/// Not thread safe.
class daemon_process
{
public:
    /// Writes the settings to settings.json in the folder and starts the program with them. Its
    /// output is appended to daemon.log there.
    daemon_process(const std::string& program, const std::filesystem::path& folder,
                   const std::string& settings)
    {
        const std::filesystem::path file = folder / "settings.json";
        std::ofstream(file) << settings;
        const std::string variable = "ZINNIAFERRY_SETTINGS=" + file.string();
        pid_ = ::fork();
        if (pid_ == 0)
        {
            run(program, variable, folder / "daemon.log");
        }
    }
    ~daemon_process()
    {
        if (alive())
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
    }
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    bool alive()
    {
        running_ = running_ && ::waitpid(pid_, nullptr, WNOHANG) == 0;
        return running_;
    }

    void send_signal(int number)
    {
        if (alive())
        {
            ::kill(pid_, number);
        }
    }

    pid_t pid() const { return pid_; }

private:
    [[noreturn]] static void run(const std::string& program, const std::string& variable,
                                 const std::filesystem::path& log)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        std::string name = program;
        std::string settings = variable;
        std::array<char*, 2> arguments = {name.data(), nullptr};
        std::array<char*, 2> environment = {settings.data(), nullptr};
        ::execve(program.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }

    pid_t pid_ = -1;
    bool running_ = true;
};

} // namespace zinniaferry::test_support
