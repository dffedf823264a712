#pragma once

#include "mustardplank/base/error.hpp"
#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace mustardplank::metrics {

/// Values of the whole process that rise and fall. Series "mustardplank_<name>".
enum class Gauge
{
  CallerConnections,
  RunningRequests,
  WaitingRequests,
  PeerLinks,
  LogReachable,
  SecondsSinceLogRead,
  ConfigRevision,
  LeasesHeld,
  LiveInstances,
  /// Bytes of messages between instances since the start.
  PeerBytesSent,
  PeerBytesReceived,
  /// Place among the agents of the failure domain; -1 if it is none.
  AgentSlot,
  /// 1 while the process follows the store itself.
  FollowsStore,
  /// Age of what is known of the configuration and of the servers; -1 if nothing is.
  OperatorsAgeSeconds,
  ServersAgeSeconds,
  /// How late the event loop handled a timer, the latest within a second.
  EventLoopLagSeconds,
  /// What callers make the process hold.
  CallerMemoryBytes,
  /// Services with a version on trial or moving, and the largest share of requests that it gets.
  ActiveRollouts,
  RolloutShare,
  /// Servers whose reports of held prompt parts this process follows.
  HeldPartsFollowed,
  /// Servers of which this process knows what they hold.
  HeldPartsKnown,
  /// Taken by responses that the process reads for itself.
  ReadMemoryBytes,
  /// 1 while no server can be reached directly.
  CutOffFromServers,
};

inline constexpr NameTable<Gauge, 23> kGaugeNames{ { {
  { Gauge::CallerConnections, "caller_connections" },
  { Gauge::RunningRequests, "running_requests" },
  { Gauge::WaitingRequests, "waiting_requests" },
  { Gauge::PeerLinks, "peer_links" },
  { Gauge::LogReachable, "log_reachable" },
  { Gauge::SecondsSinceLogRead, "seconds_since_log_read" },
  { Gauge::ConfigRevision, "config_revision" },
  { Gauge::LeasesHeld, "leases_held" },
  { Gauge::LiveInstances, "live_instances" },
  { Gauge::PeerBytesSent, "peer_bytes_sent" },
  { Gauge::PeerBytesReceived, "peer_bytes_received" },
  { Gauge::AgentSlot, "agent_slot" },
  { Gauge::FollowsStore, "follows_store" },
  { Gauge::OperatorsAgeSeconds, "configuration_age_seconds" },
  { Gauge::ServersAgeSeconds, "servers_age_seconds" },
  { Gauge::EventLoopLagSeconds, "event_loop_lag_seconds" },
  { Gauge::CallerMemoryBytes, "caller_memory_bytes" },
  { Gauge::ActiveRollouts, "active_rollouts" },
  { Gauge::RolloutShare, "rollout_share" },
  { Gauge::HeldPartsFollowed, "held_parts_servers_followed" },
  { Gauge::HeldPartsKnown, "held_parts_servers_known" },
  { Gauge::ReadMemoryBytes, "read_memory_bytes" },
  { Gauge::CutOffFromServers, "cut_off_from_servers" },
} } };

/// Values of one pool that rise and fall. Series "mustardplank_pool_<name>{pool}".
enum class PoolGauge
{
  /// On this instance.
  Waiting,
  Running,
  /// On the owner only.
  Queued,
  BacklogSeconds,
  ServingServers,
  ColdServers,
};

inline constexpr NameTable<PoolGauge, 6> kPoolGaugeNames{ { {
  { PoolGauge::Waiting, "waiting" },
  { PoolGauge::Running, "running" },
  { PoolGauge::Queued, "queued" },
  { PoolGauge::BacklogSeconds, "backlog_seconds" },
  { PoolGauge::ServingServers, "serving_servers" },
  { PoolGauge::ColdServers, "cold_servers" },
} } };

/// Events of the whole process. Series "mustardplank_<name>_total".
enum class Event
{
  LogAppend,
  LogAppendFailure,
  LogRead,
  LogReadFailure,
  /// Reads of the store by an instance that no agent has told of changes for too long.
  DirectRead,
  /// Requests to agents, and those without a reply.
  Sync,
  SyncFailure,
  /// Datagrams about the load of servers sent, and malformed ones received.
  LoadMessage,
  LoadMessageIgnored,
  EntryPassedOn,
  LogRecordSkipped,
  OwnerChange,
  ServerOrder,
  ServerCrash,
  UsageReport,
  TombstoneSent,
  OperatorCall,
  RefusedConnection,
  /// The store was restored from an older copy.
  StoreRestored,
  /// Changes of servers' registry entries that were applied.
  ServerChange,
  /// Crash notes that were not sent, as there were too many.
  CrashNoteDropped,
  /// Steps of rollouts that this instance decided, and rollbacks among them.
  RolloutStep,
  RolloutRollback,
  /// Servers' reports of prompt parts that they hold or have evicted.
  HeldPartsEvent,
  /// What was known of a server's held parts was lost: it has restarted or skipped reports.
  HeldPartsLoss,
  /// Datagrams about held parts that were not applied.
  HeldPartsMessageIgnored,
  /// Responses to the process's own requests that took more than they may.
  ResponseDropped,
  /// Connections to servers that another instance asked for.
  TunnelRequest,
  /// Requests that waited for a confirmation of the configuration.
  ConfigurationWait,
};

inline constexpr NameTable<Event, 29> kEventNames{ { {
  { Event::LogAppend, "log_appends" },
  { Event::LogAppendFailure, "log_append_failures" },
  { Event::LogRead, "log_reads" },
  { Event::LogReadFailure, "log_read_failures" },
  { Event::DirectRead, "direct_reads" },
  { Event::Sync, "agent_syncs" },
  { Event::SyncFailure, "agent_sync_failures" },
  { Event::LoadMessage, "load_messages" },
  { Event::LoadMessageIgnored, "load_messages_ignored" },
  { Event::EntryPassedOn, "board_entries_passed_on" },
  { Event::LogRecordSkipped, "log_records_skipped" },
  { Event::OwnerChange, "owner_changes" },
  { Event::ServerOrder, "server_orders" },
  { Event::ServerCrash, "server_crashes" },
  { Event::UsageReport, "usage_reports" },
  { Event::TombstoneSent, "tombstones_sent" },
  { Event::OperatorCall, "operator_calls" },
  { Event::RefusedConnection, "refused_connections" },
  { Event::StoreRestored, "store_restorations" },
  { Event::ServerChange, "server_changes" },
  { Event::CrashNoteDropped, "crash_notes_dropped" },
  { Event::RolloutStep, "rollout_steps" },
  { Event::RolloutRollback, "rollout_rollbacks" },
  { Event::HeldPartsEvent, "held_parts_events" },
  { Event::HeldPartsLoss, "held_parts_losses" },
  { Event::HeldPartsMessageIgnored, "held_parts_messages_ignored" },
  { Event::ResponseDropped, "read_responses_dropped" },
  { Event::TunnelRequest, "tunnel_requests" },
  { Event::ConfigurationWait, "configuration_waits" },
} } };

/// Messages that an instance sends to others. Series "mustardplank_control_messages_total{kind}"
/// and "mustardplank_control_bytes_total{kind}".
enum class ControlMessage
{
  Sync,
  SyncReply,
  Loads,
  CrashNotes,
  /// Which software began a stream.
  Streams,
  /// Prompt parts that servers hold.
  HeldParts,
};

inline constexpr NameTable<ControlMessage, 6> kControlMessageNames{ { {
  { ControlMessage::Sync, "sync" },
  { ControlMessage::SyncReply, "sync_reply" },
  { ControlMessage::Loads, "loads" },
  { ControlMessage::CrashNotes, "crash_notes" },
  { ControlMessage::Streams, "streams" },
  { ControlMessage::HeldParts, "held_parts" },
} } };

struct Limits
{
  std::size_t organisations = 64;
  std::size_t classes = 32;
  std::size_t pools = 64;
};

struct Series;

/// Records what happens to one request under its class and under its organisation. Two pointers:
/// copy it into the request. Valid as long as the Metrics; usable on any thread.
class RequestRecorder
{
public:
  /// The request was accepted.
  void request() const;
  /// From the request's last byte to the answer's last byte.
  void requestTime(Duration aTime) const;
  /// From the request's last byte to the first token.
  void firstToken(Duration aTime) const;
  /// Between two tokens of one answer.
  void tokenGap(Duration aTime) const;
  void tokens(std::uint64_t aPrompt, std::uint64_t aCompletion) const;
  void retry() const;
  void preemption() const;
  void refusal(ErrorCode aCode) const;

private:
  friend class Metrics;
  RequestRecorder(Series& aClass, Series& aOrganisation, Series& aAll);

  Series* mClass;
  Series* mOrganisation;
  Series* mAll;
};

/// Counters, gauges and histograms of the process. Thread-safe.
///
/// Series are labelled by class and by organisation separately, never by both, and the number of
/// series is bounded: the first Limits::organisations organisations seen since the start (64 by
/// default) get a label of their own, all further ones share organisation="other"; the same holds
/// for classes. An empty id, as of a request without a valid key, becomes "none". Pools beyond
/// Limits::pools get no series, since the sum of their gauges cannot be kept. Take class and
/// organisation from the configuration, never from what a caller wrote.
///
///     const auto recorder = metrics.recorder(classId, organisationId); // once for each request
///     recorder.tokenGap(gap);                                          // for each token
class Metrics
{
public:
  explicit Metrics(Limits aLimits = {});
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Takes a lock and searches by name; keep the result.
  RequestRecorder recorder(const ClassId& aClass, const OrganisationId& aOrganisation);
  void set(Gauge aGauge, double aValue);
  void set(PoolGauge aGauge, const PoolId& aPool, double aValue);
  void count(Event aEvent, std::uint64_t aCount = 1);
  /// A message without its headers.
  void countControl(ControlMessage aKind, std::size_t aBytes);
  /// A request that had arrived whole got no complete answer. Series
  /// "mustardplank_unanswered_requests_total{reason}"; aReason is never a caller's text.
  void countUnanswered(std::string_view aReason);
  /// A request was rejected, or a caller's connection closed, before the request had arrived whole
  /// or a server could run it. Series "mustardplank_rejected_callers_total{reason}"; aReason is
  /// never a caller's text.
  void countRejectedCaller(std::string_view aReason);

  /// Everything in the Prometheus text format.
  std::string scrape() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
