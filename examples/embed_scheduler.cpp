// Drives the scheduler of one instance without sockets or a log service: passes it the log entries
// of a catalogue, then one service call on an open route.
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/scheduler/scheduler.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace ps = persimmonstair;
using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

namespace {

ps::schema::CatalogueChange FirstCatalogue() {
  ps::schema::CatalogueChange change;
  change.id = {"first"};
  change.edits = {
      {"routes", "hours", 0, false, R"({"owner":"o","class":"c","path":"/hours","open":true})"},
      {"targets", "desk", 0, false,
       R"({"owner":"o","class":"c","kind":"service","data_centre":"d1","address":"127.0.0.1",)"
       R"("port":9000,"routes":["hours"]})"}};
  return change;
}

}  // namespace

int main() {
  ps::scheduler::Options options;
  options.instance = {"i1"};
  options.data_centre = {"d1"};
  options.process = "i1-1";
  options.incarnation = {1};
  ps::scheduler::Scheduler scheduler{options};
  ps::base::Now now{ps::base::TimePoint{1s}, ps::base::WallTime{1'700'000'000s}};

  for (const auto& stream : ps::scheduler::Scheduler::Streams()) {
    ps::scheduler::LogRead read;
    read.stream = stream;
    read.at_end = true;
    if (stream.value == "catalogue") {
      read.entries.push_back({{0}, ps::schema::EncodeRecord(FirstCatalogue())});
      read.next = {1};
    }
    scheduler.Handle(now, read);
  }

  ps::scheduler::CallerRequest request;
  request.request = {1};
  request.kind = ps::scheduler::CallKind::kServiceCall;
  request.route = {"hours"};
  for (const auto& action : scheduler.Handle(now, request)) {
    if (const auto* dispatch = std::get_if<ps::scheduler::Dispatch>(&action)) {
      std::printf("dispatch to %s %s\n", dispatch->target.value.c_str(), dispatch->path.c_str());
      ps::scheduler::TargetDone done;
      done.attempt = dispatch->attempt;
      done.status = 200;
      done.body = R"({"open":"9-17"})";
      for (const auto& next : scheduler.Handle(now, done)) {
        const auto* reply = std::get_if<ps::scheduler::Reply>(&next);
        if (reply != nullptr) std::printf("reply %u %s\n", reply->status, reply->body.c_str());
      }
    }
  }
  return 0;
}
