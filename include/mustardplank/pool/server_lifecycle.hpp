#pragma once

#include "mustardplank/base/name_table.hpp"
#include "mustardplank/config/model.hpp"
#include "mustardplank/pool/messages.hpp"

#include <optional>

namespace mustardplank::pool {

/// States of charts/backend_server.json.
enum class ServerState
{
  Ordered,
  Cold,
  Warming,
  Serving,
  Draining,
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

/// Events of charts/backend_server.json.
enum class ServerEvent
{
  ReportedCold,
  ReportedWarm,
  AssumedWarm,
  AllOpen,
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
  { ServerEvent::AllOpen, "all_open" },
  { ServerEvent::TtftJump, "ttft_jump" },
  { ServerEvent::NewIncarnation, "new_incarnation" },
  { ServerEvent::CacheLost, "cache_lost" },
  { ServerEvent::ConnectionLost, "connection_lost" },
  { ServerEvent::BackOffOver, "back_off_over" },
  { ServerEvent::Drain, "drain" },
  { ServerEvent::BringBack, "bring_back" },
} } };

/// How many slots of one backend server may be used, from what is observed of it. Interprets
/// charts/backend_server.json. Pure.
class ServerLifecycle
{
public:
  ServerLifecycle(config::BackendServer aServer, config::PoolKind aKind, TimePoint aNow);

  /// aLeaving: draining, withdrawn or about to be reclaimed.
  void configure(const config::BackendServer& aServer, bool aLeaving, TimePoint aNow);
  void applyReport(const LoadReport& aReport, TimePoint aNow);
  /// Time to first token of a finished attempt. A sudden rise shows that the server lost its cache
  /// or was replaced before any report says so.
  void recordTimeToFirstToken(Duration aTimeToFirstToken,
                              std::uint32_t aPromptTokens,
                              TimePoint aNow);
  /// A stream broke or a poll failed. Repeated losses double the back-off (crash loop).
  void recordConnectionLoss(TimePoint aNow);
  void tick(TimePoint aNow);

  ServerState state() const { return mState; }
  /// Slots that may be in use now; 0 while draining or lost.
  std::uint32_t openSlots() const { return mOpenSlots; }
  /// Cold, warming up after that, or not known yet: a surplus request harms it.
  bool isOverloadSensitive() const;
  /// Time at which the newest report was made.
  std::optional<TimePoint> reportTime() const { return mReportTime; }
  std::uint32_t reportedRunning() const { return mReportedRunning; }
  Duration backOff() const { return mBackOff; }

private:
  void apply(ServerEvent aEvent, TimePoint aNow);
  void enter(ServerState aState, TimePoint aNow);
  void openMoreSlots(TimePoint aNow);
  std::uint32_t slotLimit() const;

  config::BackendServer mConfig;
  config::PoolKind mPoolKind;
  ServerState mState = ServerState::Ordered;
  TimePoint mStateSince;
  std::uint32_t mOpenSlots = 0;
  TimePoint mLastStepAt;
  /// Was warm when this owner first heard of it, so another owner has used it before.
  bool mWarmAtFirstReport = false;
  std::optional<TimePoint> mReportTime;
  std::optional<std::uint64_t> mIncarnation;
  std::uint32_t mReportedRunning = 0;
  std::uint32_t mReportedSlots = 0;
  std::optional<std::uint64_t> mCachedBlocks;
  /// Moving average of the time to first token, in microseconds; 0 while unknown.
  double mMeanTtftUs = 0.0;
  int mConsecutiveSlow = 0;
  Duration mBackOff{};
  TimePoint mLostAt;
};

}
