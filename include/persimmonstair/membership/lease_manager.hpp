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

/// @brief Test switches that turn off one mechanism each, to show that the tests notice its
/// absence.
struct LeaseManagerFaults {
  bool no_pause_detection = false;
  bool no_start_wait = false;
  bool count_from_read_back = false;
  bool reclaim_without_wait = false;
  bool reclaim_despite_promise = false;
  bool consent_of_one_is_enough = false;
};

/// @brief An instance's own lease, its consent to others, and the reclaiming of silent instances.
///
/// The caller applies each control record to the registry first and then passes it here:
///
///     const Effect effect = registry.Apply(offset, record);
///     output.Add(keeper.OnRecord(now, offset, record, effect, registry));
///     output.Add(keeper.Tick(now, registry, log_reachable));
///     limiter.SetLease(keeper.View());
class LeaseManager {
 public:
  struct Identity {
    base::InstanceId instance;
    base::DataCentreId data_centre;
    /// Differs between any two processes; part of all record ids.
    std::string process;
  };

  explicit LeaseManager(Identity identity, LeaseTimes times = {}, LeaseManagerFaults faults = {});

  /// @brief Registers, renews, asks for consent and reclaims as time passes. To be called at least
  /// every 100 ms. `log_reachable`: the log was read to its end lately and takes appends.
  Output Tick(base::TimePoint now, const Registry& registry, bool log_reachable);

  /// @brief A control record was read and applied to the registry with this effect.
  Output OnRecord(base::TimePoint now, base::Offset offset, const schema::Record& record,
                  const Effect& effect, const Registry& registry);

  /// @brief Any authenticated message arrived: another process under this instance's id with a
  /// newer incarnation supersedes this one.
  void OnPeerSeen(const base::InstanceId& from, base::Incarnation incarnation);

  /// @brief Another instance asks not to be reclaimed for a time.
  Output OnConsentRequest(base::TimePoint now, const base::InstanceId& from,
                          base::Incarnation incarnation, const schema::LeaseConsentRequest& request,
                          const Registry& registry);

  void OnConsent(base::TimePoint now, const base::InstanceId& from, base::Incarnation incarnation,
                 const schema::LeaseConsent& consent, const Registry& registry);

  /// @brief These records are certainly not in the log and never will be. Records whose append has
  /// an unknown outcome must not be reported here.
  void OnNotAppended(const base::RecordId& id);

  /// @brief Begins the planned leave. Shares and floor are unusable from now on; InstanceLeft
  /// follows from Tick() when lent tokens have expired.
  void Leave(base::TimePoint now);
  /// InstanceLeft was read back, or there is nothing to leave.
  bool Left() const { return left_; }

  /// @brief Another process took over this instance's id; this one has to exit.
  bool Superseded() const { return superseded_; }
  /// How many times a pause made this process register again.
  std::uint64_t PausesDetected() const { return pauses_detected_; }

  /// @brief Catalogue version of the floors that this instance applies; told to the others with
  /// the next renewal.
  void SetReservedSharesVersion(std::uint64_t version) { reserved_shares_version_ = version; }

  /// Stays right until the next call of any other function.
  const LeaseView& View() const { return view_; }
  /// A new record id, unique in the fleet.
  base::RecordId NextId();

 private:
  struct ConsentRound {
    std::uint64_t nonce = 0;
    base::TimePoint sent;
    base::Duration duration{0};
    std::set<base::InstanceId> missing;
    bool open = false;
  };
  struct ObservedPeer {
    base::Incarnation incarnation;
    /// When this process read the last renewal or the registration.
    base::TimePoint read_at;
    base::TimePoint promised_until;
    /// Renewal named in a ReclaimRecord of this process whose fate is open.
    std::optional<std::uint64_t> reclaiming;
    base::RecordId reclaim_id;
    base::TimePoint reclaim_sent;
  };
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
  std::set<base::InstanceId> RequiredConsenters(const Registry& registry) const;
  std::int64_t ReclaimRank(const base::InstanceId& subject, const Registry& registry) const;
  ObservedPeer& ObservedPeerOf(base::TimePoint now, const base::InstanceId& instance,
                               const Member& member);
  void ApplyConsentIfComplete();
  void DetectPause(base::TimePoint now);
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
  std::optional<base::TimePoint> reachable_since_;
  /// Registration on its way; its append may have an unknown outcome.
  std::optional<base::RecordId> registering_;
  base::TimePoint registering_since_;
  /// This process was registered before: a newer registration by another process ends it.
  bool was_registered_ = false;
  /// Offset of the last registration or renewal of this process that was read back.
  base::Offset confirmed_;
  base::TimePoint confirmed_sent_;
  std::uint64_t sent_sequence_ = 0;
  base::TimePoint last_renewal_;
  std::map<std::uint64_t, SentRenewal> open_renewals_;
  ConsentRound consent_round_;
  std::map<base::InstanceId, ObservedPeer> observed_peers_;
  /// Newest incarnation that a message of each instance carried.
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
