#ifndef PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_RECORDS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_RECORDS_HPP_

#include <string>

#include "persimmonstair/gateway/record_store.hpp"
#include "persimmonstair/schema/state.hpp"
#include "store_access/record_expiry.hpp"

namespace persimmonstair::gateway {

/// @brief Key of a reservation's record: the id of the turn, which the caller chose, and a hash of
/// workspace and program, so that an id that is used elsewhere too doesn't replace the record.
std::string KeyOf(const schema::TokenReservation& reservation);

/// @brief Key of a stream's record. It depends on the workspace and the program too, so that an id
/// that another workspace uses as well doesn't replace the record, and on the version, so that the
/// records of an id that began streams at two versions both remain.
std::string KeyOf(const schema::StreamBegin& begin);

/// @brief Key of a take-up's record, one for each attempt that takes a stream up.
std::string KeyOf(const schema::StreamTakeUp& take_up);

KeyedRecord Encode(const schema::TokenReservation& reservation);
KeyedRecord Encode(const schema::StreamBegin& begin);
KeyedRecord Encode(const schema::StreamTakeUp& take_up);

/// @brief Expiry of a reservation's record. All reservations of a program count until the last one
/// expires.
store_access::RecordExpiry::Entry ExpiryOf(const schema::TokenReservation& reservation,
                                           store_access::RecordWriter writer);
store_access::RecordExpiry::Entry ExpiryOf(const schema::StreamBegin& begin,
                                           store_access::RecordWriter writer);
store_access::RecordExpiry::Entry ExpiryOf(const schema::StreamTakeUp& take_up,
                                           store_access::RecordWriter writer);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_RECORDS_HPP_
