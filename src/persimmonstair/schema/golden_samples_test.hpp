#ifndef PERSIMMONSTAIR_SRC_SCHEMA_GOLDEN_SAMPLES_TEST_HPP_
#define PERSIMMONSTAIR_SRC_SCHEMA_GOLDEN_SAMPLES_TEST_HPP_

#include <vector>

#include "persimmonstair/schema/entry_peer.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::schema {

/// @brief One record of each type that builds before the collectors write to the store. No field
/// has its default value.
inline std::vector<StateRecord> GoldenRecords() {
  return {
      KeptTurn{{"turn-1"}, {"north"}, {{"a"}, {"b"}}, "input", "output", 1'700'000'000'001},
      TokenReservation{{"program"}, {"north"}, {"turn-1"}, 4096, true, 1'700'000'000'002},
      ShareReport{{"i1"}, "process", {"dc1"}, "10.0.0.1:7000", 17, true},
      ShareTable{18, {{{"i1"}, {"dc1"}}, {{"i2"}, {"dc2"}}}, {{{"i1"}, {"dc1"}}}},
      CrashReport{0x1122334455667788, {"engine-1"}, 1'700'000'000'003},
      StreamBegin{{"north"}, {"program"}, {"attempt"}, {"v2"}, 1'700'000'000'004},
  };
}

/// @brief One message of each type that builds before the collectors exchange.
inline std::vector<EntryPeerMessage> GoldenMessages() {
  return {
      TokenAsk{{"north"}, 1, true, 250},
      TokenAnswer{{"north"}, 2, true, true, 40},
      TokenCancel{{"north"}, 3},
      ReservationAsk{4,
                     {"program"},
                     {"north"},
                     {"turn-1"},
                     4096,
                     1'700'000'000'005,
                     true,
                     100'000,
                     {"attempt"},
                     {"v2"},
                     1'700'000'000'006,
                     {"earlier"},
                     300},
      ReservationAnswer{5, true, true, true, true, 6, 7, {"v2"}},
      SettlementNotice{8, {"program"}, {"north"}, {"turn-1"}, 70, 1'700'000'000'007},
      SettlementAck{9},
      TargetTokenAsk{{"engine-1"}, 10, 1'700'000'000'008, 12.5, 20, true, 30},
      TargetTokenAnswer{11, true, true, 40},
      TargetRateNotice{{"engine-1"}, 1'700'000'000'009, true, 12.5, 50},
  };
}

}  // namespace persimmonstair::schema

#endif  // PERSIMMONSTAIR_SRC_SCHEMA_GOLDEN_SAMPLES_TEST_HPP_
