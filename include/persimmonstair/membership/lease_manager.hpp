#ifndef PERSIMMONSTAIR_MEMBERSHIP_LEASE_MANAGER_HPP_
#define PERSIMMONSTAIR_MEMBERSHIP_LEASE_MANAGER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "persimmonstair/membership/lease.hpp"
#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::membership {

/// @brief Fault injection for tests: each switch turns off one mechanism, to show that the tests
/// detect its absence.
struct LeaseManagerFaults {
  /// A long gap between two ticks does not end the incarnation.
  bool no_pause_detection = false;
  /// Shares are used at once after registration, although an earlier process under the same id may
  /// still use them.
  bool no_start_wait = false;
  /// A lease is counted from when the renewal was read back instead of when it was sent.
  bool count_from_read_back = false;
  /// An instance is reclaimed after two renewal intervals, before its lease has ended.
  bool reclaim_without_wait = false;
  /// Own promises to other instances do not prevent a reclaim, and a pending reclaim does not
  /// prevent a promise.
  bool reclaim_despite_promise = false;
  /// The lease is extended as soon as one peer has consented.
  bool consent_of_one_is_enough = false;
};

/// @brief Registers an instance, renews its lease, and reclaims instances that no longer renew: a
/// reclaim ends the lifetime of an instance and passes its shares to the writer of the record.
///
/// While the log is unavailable, a lease stays valid if all peers consent, which means that each
/// promises not to reclaim the instance for a time.
///
/// The caller applies each control record to the registry first and then passes it to the manager:
///
///     const Effect effect = registry.Apply(offset, record);
///     output.Add(lease_manager.OnRecord(now, offset, record, effect, registry));
///     output.Add(lease_manager.Tick(now, registry, log_reachable));
///     limiter.SetLease(now, lease_manager.View());
class LeaseManager {
 public:
  struct Identity {
    base::InstanceId instance;
    base::DataCentreId data_centre;
    /// Unique for each process; part of all its record ids.
    std::string process;
  };

  explicit LeaseManager(Identity identity, LeaseTimes times = {}, LeaseManagerFaults faults = {});

  /// @brief Registers, renews, asks for consent and reclaims when due. To be called at least every
  /// 100 ms. `log_reachable` is true if the log was recently read to its end and accepts appends.
  Output Tick(base::TimePoint now, const Registry& registry, bool log_reachable);

  /// @brief Handles a control record that the registry has applied with the given effect.
  Output OnRecord(base::TimePoint now, base::Offset offset, const schema::Record& record,
                  const Effect& effect, const Registry& registry);

  /// @brief To be called for every authenticated message. A message from this instance's own id
  /// with a newer incarnation means that another process has superseded this one.
  void OnPeerSeen(const base::InstanceId& from, base::Incarnation incarnation);

  /// @brief Answers another instance that asks not to be reclaimed for a time. The answer has a
  /// duration of 0 if this instance can't promise it.
  Output OnConsentRequest(base::TimePoint now, const base::InstanceId& from,
                          base::Incarnation incarnation, const schema::LeaseConsentRequest& request,
                          const Registry& registry);

  /// @brief Handles the answer to an own consent request. The lease is extended when all peers
  /// asked have consented.
  void OnConsent(base::TimePoint now, const base::InstanceId& from, base::Incarnation incarnation,
                 const schema::LeaseConsent& consent, const Registry& registry);

  /// @brief Reports a record that is certainly not in the log and never will be. Must not be called
  /// for an append with an unknown outcome.
  void OnNotAppended(const base::RecordId& id);

  /// @brief Begins the planned leave. Leased and reserved shares are unusable from now on. Tick()
  /// returns the InstanceLeft record after lent tokens have expired.
  void Leave(base::TimePoint now);
  /// True if InstanceLeft was read back, or if the leaving process was not registered.
  bool Left() const { return left_; }

  /// @brief True if another process has taken over this instance's id. This process has to exit.
  bool Superseded() const { return superseded_; }
  /// Number of pauses after which this process registered again.
  std::uint64_t PausesDetected() const { return pauses_detected_; }

  /// @brief Sets the catalogue version of the reserved shares that this instance applies. The next
  /// renewal states it to the other instances.
  void SetReservedSharesVersion(std::uint64_t version) { reserved_shares_version_ = version; }

  /// The lease as of now; may change with any call of a non-const function.
  const LeaseView& View() const { return view_; }
  /// Returns a new record id, unique in the fleet.
  base::RecordId NextId();

 private:
  /// One set of consent requests, sent to all peers under one nonce.
  struct ConsentRound {
    std::uint64_t nonce = 0;
    base::TimePoint sent;
    /// Time, counted from `sent`, by which the requests ask to extend the lease.
    base::Duration duration{0};
    /// Peers that have not consented yet.
    std::set<base::InstanceId> missing;
    bool open = false;
  };
  /// What this process knows about another instance's lease, and its promises to that instance.
  struct ObservedPeer {
    base::Incarnation incarnation;
    /// When this process read the last renewal or the registration from the log.
    base::TimePoint read_at;
    /// This process has promised not to reclaim the instance before then.
    base::TimePoint promised_until;
    /// Sequence number of the instance's last renewal, as named in this process's ReclaimRecord;
    /// set only while the outcome of that record is unknown.
    std::optional<std::uint64_t> reclaiming;
    base::RecordId reclaim_id;
    base::TimePoint reclaim_sent;
  };
  /// An own renewal: its record id, the time at which it was sent and the duration of the lease.
  struct SentRenewal {
    base::RecordId id;
    base::TimePoint at;
    base::Duration lease{0};
  };

  Output Register(base::TimePoint now, const Registry& registry);
  Output Renew(base::TimePoint now, const Registry& registry);
  Output RequestConsent(base::TimePoint now, const Registry& registry);
  Output Reclaim(base::TimePoint now, const Registry& registry);
  Output FinishLeave(base::TimePoint now);
  bool MayReclaim(base::TimePoint now, const base::InstanceId& subject, const Member& member,
                  const Registry& registry);
  /// Instances whose consent extends the lease: those that registered before this instance's last
  /// confirmed record, so that their registration is certainly known.
  std::set<base::InstanceId> RequiredConsenters(const Registry& registry) const;
  /// Position of this instance in the order in which instances reclaim the subject; 0 is the first.
  std::int64_t ReclaimRank(const base::InstanceId& subject, const Registry& registry) const;
  /// Entry of an instance; a new one if its incarnation has changed.
  ObservedPeer& ObservedPeerOf(base::TimePoint now, const base::InstanceId& instance,
                               const Member& member);
  /// Extends the lease if all peers asked in the current round have consented.
  void ApplyConsentIfComplete();
  /// Ends the incarnation if too much time has passed since the last tick.
  void DetectPause(base::TimePoint now);
  /// Gives up the registration and the lease; pending records of it no longer count.
  void EndIncarnation();
  void OnOwnRegistration(base::TimePoint now, base::Offset offset,
                         const schema::InstanceRegistered& record, const Effect& effect,
                         const Registry& registry);
  void OnOwnRenewal(base::TimePoint now, base::Offset offset, const schema::LeaseRecord& record,
                    const Effect& effect);
  void Supersede();

  Identity identity_;
  LeaseTimes times_;
  LeaseManagerFaults faults_;
  LeaseView view_;
  std::uint64_t last_id_ = 0;
  std::uint64_t last_nonce_ = 0;
  std::optional<base::TimePoint> last_tick_;
  /// Empty while the log is unavailable.
  std::optional<base::TimePoint> log_reachable_since_;
  /// Pending registration; its append may have an unknown outcome.
  std::optional<base::RecordId> registering_;
  base::TimePoint registering_since_;
  /// True once this process was registered. From then on, a newer registration by another process
  /// supersedes it.
  bool was_registered_ = false;
  /// Offset of the last registration or renewal of this process that was read back.
  base::Offset confirmed_;
  /// When that renewal was sent, or that registration was read back. Consent of peers extends the
  /// lease up to `consent_limit` after this time.
  base::TimePoint confirmed_sent_;
  /// Number of the last renewal sent.
  std::uint64_t sent_sequence_ = 0;
  base::TimePoint last_renewal_sent_;
  /// Renewals sent and not read back yet, by number.
  std::map<std::uint64_t, SentRenewal> open_renewals_;
  ConsentRound round_;
  std::map<base::InstanceId, ObservedPeer> observed_peers_;
  /// Newest incarnation seen in the messages of each instance.
  std::map<base::InstanceId, base::Incarnation> newest_incarnations_;
  std::uint64_t reserved_shares_version_ = 0;
  std::uint64_t pauses_detected_ = 0;
  std::optional<base::TimePoint> leaving_since_;
  bool leave_sent_ = false;
  base::TimePoint leave_sent_at_;
  bool left_ = false;
  bool superseded_ = false;
};

}  // namespace persimmonstair::membership

#endif  // PERSIMMONSTAIR_MEMBERSHIP_LEASE_MANAGER_HPP_
