#pragma once

#include "mustardplank/base/name_table.hpp"
#include "mustardplank/config/model.hpp"
#include "mustardplank/pool/messages.hpp"

#include <optional>

namespace mustardplank::pool {

/// States of the state chart charts/backend_server.json.
enum class ServerState
{
  /// Configured, but has not reported its load yet.
  Ordered,
  /// Takes requests only on the configured cold slots: it has just started or come back, or its
  /// cache was lost.
  Cold,
  /// Warm; the slot limit rises step by step.
  Warming,
  /// Takes requests on all slots.
  Serving,
  /// Gets no new requests while it is draining, withdrawn or about to be reclaimed.
  Draining,
  /// Connection lost: gets no new requests until the back-off is over and, except in a service
  /// pool, a load report made after the loss has arrived.
  Lost,
};

inline constexpr NameTable<ServerState, 6> kServerStateNames{ { {
  { ServerState::Ordered, "ordered" },
  { ServerState::Cold, "cold" },
  { ServerState::Warming, "warming" },
  { ServerState::Serving, "serving" },
  { ServerState::Draining, "draining" },
  { ServerState::Lost, "lost" },
} } };

/// Events of the state chart charts/backend_server.json.
enum class ServerEvent
{
  ReportedCold,
  ReportedWarm,
  AssumedWarm,
  AllSlotsOpen,
  TtftJump,
  NewIncarnation,
  CacheLost,
  ConnectionLost,
  BackOffOver,
  Drain,
  BringBack,
};

inline constexpr NameTable<ServerEvent, 11> kServerEventNames{ { {
  { ServerEvent::ReportedCold, "reported_cold" },
  { ServerEvent::ReportedWarm, "reported_warm" },
  { ServerEvent::AssumedWarm, "assumed_warm" },
  { ServerEvent::AllSlotsOpen, "all_open" },
  { ServerEvent::TtftJump, "ttft_jump" },
  { ServerEvent::NewIncarnation, "new_incarnation" },
  { ServerEvent::CacheLost, "cache_lost" },
  { ServerEvent::ConnectionLost, "connection_lost" },
  { ServerEvent::BackOffOver, "back_off_over" },
  { ServerEvent::Drain, "drain" },
  { ServerEvent::BringBack, "bring_back" },
} } };

/// Determines how many slots of one backend server may be used, from its load reports, times to
/// first token and connection losses. Runs the state chart charts/backend_server.json. Does no I/O
/// and reads no clock.
class ServerLifecycle
{
public:
  ServerLifecycle(config::BackendServer aServer, config::PoolKind aKind, TimePoint aNow);

  /// aLeaving: the server is draining, withdrawn or about to be reclaimed.
  void configure(const config::BackendServer& aServer, bool aLeaving, TimePoint aNow);
  void applyReport(const LoadReport& aReport, TimePoint aNow);
  /// Records the time to first token of an ended attempt. A sudden rise shows, earlier than a load
  /// report, that the server lost its cache or was replaced. aPromptTokens is not used.
  void recordTimeToFirstToken(Duration aTimeToFirstToken,
                              std::uint32_t aPromptTokens,
                              TimePoint aNow);
  /// The server counts as lost: a connection broke or was refused, or load polls or requests failed
  /// repeatedly. Repeated losses (crash loop) double the back-off.
  void recordConnectionLoss(TimePoint aNow);
  void tick(TimePoint aNow);

  ServerState state() const { return mState; }
  /// Slots that may be in use now, free or not; 0 while draining or lost.
  std::uint32_t currentSlotLimit() const { return mCurrentSlotLimit; }
  /// Whether requests above currentSlotLimit() would harm the server: it is cold, warming up after
  /// being cold, or has not reported yet.
  bool isOverloadSensitive() const;
  /// When the server made its newest load report.
  std::optional<TimePoint> reportTime() const { return mReportTime; }
  /// Running and waiting requests in the newest load report.
  std::uint32_t reportedRequests() const { return mReportedRequests; }
  /// How long, at least, the server gets no requests after its last connection loss.
  Duration backOff() const { return mBackOff; }

private:
  void apply(ServerEvent aEvent, TimePoint aNow);
  void enter(ServerState aState, TimePoint aNow);
  /// Doubles the slot limit, up to warmSlotLimit(), once kWarmUpInterval has passed since the state
  /// was entered or the limit was last doubled.
  void raiseSlotLimit(TimePoint aNow);
  /// Slot limit when fully warm: the configured number of slots, or the reported one if lower.
  std::uint32_t warmSlotLimit() const;

  config::BackendServer mConfig;
  config::PoolKind mPoolKind;
  ServerState mState = ServerState::Ordered;
  TimePoint mStateSince;
  std::uint32_t mCurrentSlotLimit = 0;
  /// When the state was entered or mCurrentSlotLimit was last doubled, whichever is later.
  TimePoint mWarmUpStepAt;
  /// Warming, and warm already at the first load report: a former owner probably used the server.
  bool mWarmingFromOrdered = false;
  std::optional<TimePoint> mReportTime;
  std::optional<std::uint64_t> mIncarnation;
  std::uint32_t mReportedRequests = 0;
  /// 0 while not reported.
  std::uint32_t mReportedSlots = 0;
  std::optional<std::uint64_t> mCachedBlocks;
  /// Moving average of the time to first token in microseconds; 0 while unknown.
  double mMeanTtftUs = 0.0;
  /// Consecutive attempts with a time to first token far above the mean (kTtftJumpFactor,
  /// kMinTtftJump).
  int mConsecutiveSlowAttempts = 0;
  Duration mBackOff{};
  TimePoint mLostAt;
};

}
