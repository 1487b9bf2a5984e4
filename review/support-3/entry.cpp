#include "entry.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

constexpr const char* kProgram = "target/bin/persimmonstair-entry";
constexpr const char* kTemplate = "deploy/settings.template.json";

void Replace(std::string& text, const std::string& name, const std::string& value) {
  const std::string placeholder = "{{" + name + "}}";
  for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
    text.replace(at, placeholder.size(), value);
  }
}

}  // namespace

Entry::Entry(Machine machine, std::string folder)
    : machine_(std::move(machine)), folder_(std::move(folder)) {}

std::string Entry::Settings() const {
  std::ifstream in(kTemplate);
  std::stringstream text;
  text << in.rdbuf();
  std::string out = text.str();
  const auto at = [this](std::size_t n) { return Address{machine_.ip, machine_.ports[n]}.Text(); };
  Replace(out, "node", machine_.node);
  Replace(out, "zone", machine_.zone);
  Replace(out, "ip", machine_.ip);
  Replace(out, "listen_addrs.front", at(0));
  Replace(out, "listen_addrs.ready", at(1));
  Replace(out, "port_range.0", std::to_string(machine_.ports[2]));
  Replace(out, "port_range.1", std::to_string(machine_.ports[3]));
  Replace(out, "platform.addr", machine_.store.Text());
  Replace(out, "platform.parts", "8");
  Replace(out, "platform.writes_per_s", "800");
  Replace(out, "bounds.drain_ms", "2000");
  Replace(out, "limits.memory_mb", std::to_string(machine_.memory_mb));
  Replace(out, "limits.max_fds", "8200");
  return out;
}

void Entry::Start() {
  const std::string settings = folder_ + "/" + machine_.node + ".json";
  std::ofstream(settings) << Settings();
  const std::string log = LogPath();
  const pid_t parent = ::getpid();
  int started[2] = {-1, -1};
  if (::pipe2(started, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("can't fork");
  if (pid_ > 0) {
    // Ends when the program has taken the place of the copy of this process.
    char ignored = 0;
    ::close(started[1]);
    while (::read(started[0], &ignored, 1) > 0) {
    }
    ::close(started[0]);
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::execl(kProgram, kProgram, "--config", settings.c_str(), static_cast<char*>(nullptr));
  ::_exit(127);
}

void Entry::Signal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
}

void Entry::Kill() {
  if (!Runs()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool Entry::Runs() {
  if (pid_ < 0) return false;
  if (::waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

bool Entry::WaitEnd(milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  while (Runs()) {
    if (Clock::now() >= deadline) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

bool Entry::WaitReady(milliseconds timeout) const {
  const auto deadline = Clock::now() + timeout;
  while (Clock::now() < deadline) {
    const auto connection = Connection::Open({machine_.ip, machine_.ports[1]}, milliseconds(500));
    if (connection &&
        connection->Send("GET /persimmonstair/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        connection->Read(milliseconds(1000)).Status() == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

double Entry::Metric(const std::string& name) const {
  const auto connection = Connection::Open({machine_.ip, machine_.ports[2]}, milliseconds(500));
  if (!connection || !connection->Send("GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n")) return -1;
  std::istringstream lines(connection->Read(milliseconds(2000)).body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) return std::atof(line.c_str() + name.size());
  }
  return -1;
}

std::size_t Entry::MemoryOf(const std::string& field) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field)) return std::stoul(line.substr(field.size()));
  }
  return 0;
}

TemporaryFolder::TemporaryFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
  path_ = name;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(path_, ignored);
}

}  // namespace review
