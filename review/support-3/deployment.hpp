#ifndef REVIEW_SUPPORT_3_DEPLOYMENT_HPP_
#define REVIEW_SUPPORT_3_DEPLOYMENT_HPP_

#include <memory>
#include <string>
#include <vector>

#include "entry.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

/// @brief The store and the machines of a small deployment, on loopback addresses of their own and
/// the same ports.
class Deployment {
 public:
  /// Zones of the machines, in their order.
  Deployment(Record& record, const std::vector<std::string>& zones, int memory_mb = 130);

  Store& PlatformStore() { return store_; }
  Entry& Front(std::size_t n) { return *fronts_[n]; }
  std::size_t Fronts() const { return fronts_.size(); }
  /// Starts a machine and waits until it is ready; false if it isn't within 20 s.
  bool Start(std::size_t n);
  /// Starts all machines at once and waits for them, and until the traffic may start.
  bool StartAll() { return StartAllBut(fronts_.size()); }
  /// The same without the machine `left_out`.
  bool StartAllBut(std::size_t left_out);
  /// Loopback address for workers.
  static std::string WorkerIp() { return "127.0.0.3"; }

 private:
  Record& record_;
  TemporaryFolder folder_;
  Store store_;
  std::vector<std::unique_ptr<Entry>> fronts_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_3_DEPLOYMENT_HPP_
