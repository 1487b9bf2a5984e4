// Prints the time of decisions and the memory of the state in `effects` and `programs` at 1, 10 and
// 100 times the present size (200 programs of 20 turns):  state_bench [largest factor]
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "persimmonstair/effects/effect_coordinator.hpp"
#include "persimmonstair/programs/program_store.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace {

using namespace persimmonstair;  // NOLINT(google-build-using-namespace): a program's only file
using Clock = std::chrono::steady_clock;

constexpr std::size_t kPrograms = 200;
constexpr std::uint32_t kTurns = 20;
/// Number of records whose encoded size is averaged.
constexpr std::size_t kSampled = 100;
constexpr std::int64_t kStart = 1'700'000'000;

base::Now NowAt(base::Duration since = {}) {
  return {base::TimePoint{since}, base::WallTime{std::chrono::seconds{kStart}}};
}

double NanosPer(Clock::time_point begin, std::size_t count) {
  const std::chrono::duration<double, std::nano> passed = Clock::now() - begin;
  return passed.count() / static_cast<double>(count);
}

std::string Body(std::uint32_t turn) {
  return R"({"max_tokens":64,"messages":[{"role":"user","content":"question )" +
         std::to_string(turn) + R"( about a rosary with 59 beads and a silver crucifix"}]})";
}

const std::string kAnswer =
    R"({"choices":[{"message":{"role":"assistant","content":"the repair takes two days"}}]})";

// The record store in memory; the index of a record is its offset.
struct Log {
  std::vector<schema::Record> records;
};

// Mean encoded size of the sampled records.
std::size_t LogBytes(const Log& log) {
  std::size_t bytes = 0;
  const std::size_t step = log.records.size() / kSampled;
  for (std::size_t n = 0; n < kSampled; ++n) {
    bytes += schema::EncodeRecord(log.records[n * step]).size();
  }
  return bytes / kSampled;
}

// Appends the records that the actions request, delivers them to the store and returns the actions
// that follow.
programs::ProgramActions ApplyAppends(programs::ProgramStore& store, Log& log,
                                      const programs::ProgramActions& actions) {
  programs::ProgramActions out;
  for (const auto& action : actions) {
    const auto* append = std::get_if<programs::AppendRecord>(&action);
    if (append == nullptr) continue;
    log.records.push_back(append->record);
    for (auto& next : store.OnRecord(NowAt(), {log.records.size() - 1}, append->record)) {
      out.push_back(std::move(next));
    }
  }
  return out;
}

void RunTurns(programs::ProgramStore& store, Log& log, std::size_t count) {
  std::uint64_t request = 0;
  for (std::uint32_t turn = 1; turn <= kTurns; ++turn) {
    for (std::size_t n = 0; n < count; ++n) {
      const base::RequestId id{++request};
      programs::ProgramActions none;
      store.Turn(NowAt(), {id, {"program-" + std::to_string(n)}, {"north"}, turn, Body(turn), 64});
      store.ConfirmDispatch(NowAt(), id, none);
      ApplyAppends(store, log, store.OnTurnDone(NowAt(), id, {{"engine-1"}, 200, kAnswer, 60, 20}));
    }
  }
}

// Lets another instance take over all programs of an owner that ended. Returns the number of events
// (reads, fetches and ticks) that this took.
std::size_t Recover(const Log& log, std::size_t count) {
  programs::ProgramStore store(programs::ProgramOptions{.instance = {"i2"}, .incarnation = {1}});
  for (std::size_t n = 0; n < log.records.size(); ++n) store.OnRecord(NowAt(), {n}, log.records[n]);
  store.OnReadEnd(NowAt(), {0}, true);
  std::vector<schema::Record> all = log.records;
  std::vector<programs::ProgramAction> open;
  std::size_t events = 0;
  const auto collect = [&](programs::ProgramActions actions) {
    ++events;
    for (auto& action : actions) open.push_back(std::move(action));
  };
  for (const auto& root : store.Index().RootsOf({"i1"})) collect(store.TakeOver(NowAt(), root));
  for (std::size_t n = 0; n < open.size(); ++n) {
    const programs::ProgramAction action = open[n];
    if (const auto* append = std::get_if<programs::AppendRecord>(&action)) {
      all.push_back(append->record);
      collect(store.OnRecord(NowAt(), {all.size() - 1}, append->record));
    } else if (const auto* fetch = std::get_if<programs::FetchRecords>(&action)) {
      std::vector<std::pair<base::Offset, schema::Record>> found;
      for (const auto offset : fetch->offsets) found.emplace_back(offset, all[offset.value]);
      collect(store.OnFetched(NowAt(), false, found));
    }
  }
  collect(store.OnTick(NowAt(std::chrono::seconds{2})));
  std::size_t owned = 0;
  for (std::size_t n = 0; n < count; ++n) owned += store.Owns({"program-" + std::to_string(n)});
  if (owned != count) std::cout << "only " << owned << " of " << count << " programs recovered\n";
  return events;
}

void BenchPrograms(std::size_t factor) {
  const std::size_t count = kPrograms * factor;
  programs::ProgramStore store(programs::ProgramOptions{.instance = {"i1"}, .incarnation = {1}});
  store.OnReadEnd(NowAt(), {0}, true);
  Log log;
  for (std::size_t n = 0; n < count; ++n) {
    ApplyAppends(
        store, log,
        store.Open(NowAt(),
                   {{n + 1}, {"program-" + std::to_string(n)}, {"north"}, {}, {"m"}, 1'000'000}));
  }
  const auto turns = Clock::now();
  RunTurns(store, log, count);
  const double turn_ns = NanosPer(turns, count * kTurns);
  programs::ProgramIndex index;
  const auto applies = Clock::now();
  for (std::size_t n = 0; n < log.records.size(); ++n) index.Apply({n}, log.records[n]);
  const double apply_ns = NanosPer(applies, log.records.size());
  const auto ticks = Clock::now();
  for (int n = 0; n < 10; ++n) store.OnTick(NowAt(std::chrono::seconds{n / 10}));
  std::cout << "programs " << count << " x " << kTurns << " turns: " << turn_ns << " ns/turn, "
            << apply_ns << " ns/record read, " << NanosPer(ticks, 10) / 1000 << " us/tick, "
            << index.Bytes() / count << " index bytes/program, " << store.Bytes() / count
            << " owner bytes/program, " << LogBytes(log) << " log bytes/record" << std::endl;
  const auto recovery = Clock::now();
  const std::size_t events = Recover(log, count);
  std::cout << "  takeover of all programs: " << events << " events, "
            << NanosPer(recovery, count) / 1000 << " us/program" << std::endl;
}

void BenchEffects(std::size_t factor) {
  const std::size_t count = 1000 * factor;
  effects::EffectOptions options;
  options.instance = {"i1"};
  options.incarnation = {1};
  options.limits.max_bytes = std::size_t{1} << 30U;
  effects::EffectCoordinator coordinator(std::move(options));
  coordinator.OnReadEnd(NowAt(), {0}, {}, true);
  std::uint64_t offset = 0;
  std::size_t bytes = 0;
  const auto begin = Clock::now();
  for (std::size_t n = 0; n < count; ++n) {
    const base::RequestId id{n + 1};
    effects::EffectActions actions = coordinator.Begin(
        NowAt(),
        {id, {{"north"}, {"deposit"}, std::to_string(kStart) + ".o" + std::to_string(n)}, 7});
    const auto apply_appends = [&] {
      for (const auto& action : effects::EffectActions(actions)) {
        const auto* append = std::get_if<effects::AppendRecord>(&action);
        if (append == nullptr) continue;
        if (n < kSampled) bytes += schema::EncodeRecord(append->record).size();
        coordinator.OnRecord(NowAt(), {offset++}, append->record);
      }
    };
    apply_appends();
    coordinator.ConfirmDispatch(NowAt(), id, actions);
    actions = coordinator.OnDone(NowAt(), id, 201, R"({"deposit":"accepted"})");
    apply_appends();
  }
  std::cout << "effects " << count << " claims: " << NanosPer(begin, count) << " ns/request, "
            << coordinator.Table().Bytes() / count << " table bytes/claim, "
            << bytes / (2 * kSampled) << " log bytes/record" << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t largest = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 100;
  for (std::size_t factor = 1; factor <= largest; factor *= 10) {
    BenchEffects(factor);
    BenchPrograms(factor);
  }
  return 0;
}
