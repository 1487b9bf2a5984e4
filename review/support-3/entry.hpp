#ifndef REVIEW_SUPPORT_3_ENTRY_HPP_
#define REVIEW_SUPPORT_3_ENTRY_HPP_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net.hpp"

namespace review {

/// @brief A machine of the deployment: what the platform fills into the settings template.
struct Machine {
  std::string node;
  std::string zone;
  std::string ip;
  /// Ports for clients, readiness, and the first and the last of the port range.
  std::vector<std::uint16_t> ports;
  Address store;
  int memory_mb = 130;
};

/// @brief A process of the system, started with the command of the deploy file in the repository's
/// root. It ends with the process that started it.
class Entry {
 public:
  /// Writes the settings file and the log into `folder`.
  Entry(Machine machine, std::string folder);
  ~Entry() { Kill(); }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Kills the process if it runs.
  void Kill();
  /// Waits until the process has ended by itself; false after `timeout`.
  bool WaitEnd(milliseconds timeout);
  bool Runs();
  /// Waits until the platform would send new connections; false after `timeout`.
  bool WaitReady(milliseconds timeout) const;
  /// Value of one of its metrics; -1 if it can't be read.
  double Metric(const std::string& name) const;
  /// Memory of its own (without pages of files) in kB; 0 if the process has ended.
  std::size_t MemoryKb() const { return MemoryOf("RssAnon:"); }

  Address Front() const { return {machine_.ip, machine_.ports[0]}; }
  const std::string& Node() const { return machine_.node; }
  pid_t Pid() const { return pid_; }
  std::string LogPath() const { return folder_ + "/" + machine_.node + ".log"; }

 private:
  std::size_t MemoryOf(const std::string& field) const;
  std::string Settings() const;

  Machine machine_;
  std::string folder_;
  pid_t pid_ = -1;
};

/// @brief A new folder for settings and logs, which is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_3_ENTRY_HPP_
