#ifndef PERSIMMONSTAIR_TRACE_TRACE_JSON_HPP_
#define PERSIMMONSTAIR_TRACE_TRACE_JSON_HPP_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/events.hpp"
#include "persimmonstair/scheduler/scheduler.hpp"
#include "persimmonstair/schema/codec.hpp"

// JSON form of the scheduler's options, events and actions. Durations and times are in
// microseconds; messages between instances are the bytes of schema::EncodePeer() as hexadecimal
// digits. Where a macro ends in _WITH_DEFAULT, a member that is missing in a trace keeps its
// default; otherwise it is an error.
namespace nlohmann {

template <>
struct adl_serializer<persimmonstair::base::Duration> {
  static void to_json(json& out, const persimmonstair::base::Duration& value) {
    out = value.count();
  }
  static void from_json(const json& in, persimmonstair::base::Duration& value) {
    value = persimmonstair::base::Duration{in.get<std::int64_t>()};
  }
};

template <>
struct adl_serializer<persimmonstair::base::WallTime> {
  static void to_json(json& out, const persimmonstair::base::WallTime& value) {
    out = value.time_since_epoch().count();
  }
  static void from_json(const json& in, persimmonstair::base::WallTime& value) {
    value = persimmonstair::base::WallTime{persimmonstair::base::Duration{in.get<std::int64_t>()}};
  }
};

template <class T>
struct adl_serializer<std::optional<T>> {
  static void to_json(json& out, const std::optional<T>& value) {
    out = value ? json(*value) : json(nullptr);
  }
  static void from_json(const json& in, std::optional<T>& value) {
    value = in.is_null() ? std::nullopt : std::optional<T>(in.get<T>());
  }
};

template <>
struct adl_serializer<persimmonstair::schema::PeerMessage> {
  static void to_json(json& out, const persimmonstair::schema::PeerMessage& value);
  static void from_json(const json& in, persimmonstair::schema::PeerMessage& value);
};

}  // namespace nlohmann

namespace persimmonstair::scheduler {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerRequest, request, kind, key, route, program,
                                                parent, turn, idempotency_key, model, method, body,
                                                stream, deadline, budget_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerGone, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetFirstByte, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetDone, attempt, status, body, prompt_tokens,
                                                cached_tokens, completion_tokens, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetFailed, attempt, kind, verdict,
                                                partly_relayed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetReport, target, running, waiting,
                                                cache_used_tokens, cache_total_tokens, leaving,
                                                held)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogEntry, offset, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LogRead, stream, from, entries, next, oldest,
                                                oldest_at, at_end)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogReadFailed, stream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AppendDone, append, outcome, first)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordsFetched, stream, entries, failed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ListedInstance, instance, data_centre, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(InstanceListRead, instances, leaving_targets)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerReceived, from, incarnation, message, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerSendFailed, to, message, sent)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Reply, request, status, headers, body, workspace, entry_class)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Dispatch, attempt, request, target, address, port, method, path,
                                   headers, body, relay, connect_timeout, first_byte_timeout,
                                   between_bytes_timeout, credential, fresh_connection)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelAttempt, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CloseIdleConnections, address, port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Append, append, stream, records, ids)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FetchRecords, stream, offsets)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SendPeer, to, message, reliable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BroadcastPeer, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Stopped, left)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerInfo, instance, data_centre)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Options, instance, data_centre, process,
                                                incarnation, peers, seed, alone_stop,
                                                datacentre_stop, stop_timeout, stop_grace,
                                                appends_per_s, retention, load_interval)

// Types without members. Actions such as Superseded are only written.
inline void to_json(nlohmann::json& out, const Tick& /*value*/) { out = nlohmann::json::object(); }
inline void from_json(const nlohmann::json& /*in*/, Tick& /*value*/) {}
inline void to_json(nlohmann::json& out, const StopRequested& /*value*/) {
  out = nlohmann::json::object();
}
inline void from_json(const nlohmann::json& /*in*/, StopRequested& /*value*/) {}
inline void to_json(nlohmann::json& out, const Superseded& /*value*/) {
  out = nlohmann::json::object();
}

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_TRACE_TRACE_JSON_HPP_
