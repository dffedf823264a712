#include "route_daemon_impl.hpp"

#include <sstream>

namespace mustardplank::daemon {

using Audience = agent::CrashExchange::Audience;

namespace {

/// How often blocked parts are sent again.
constexpr Duration kBlockedRepeatInterval = Seconds(1);

std::string
hexadecimal(dispatch::PromptPartId aPart)
{
  std::ostringstream text;
  text << std::hex << aPart;
  return text.str();
}

}

void
RouteDaemon::Impl::applyOwnCrashNote(const dispatch::CrashNote& aNote)
{
  const bool isNew = dispatcher.promptPartSuspects().add(aNote, clock.now(bootNow()));
  if (isNew) {
    sendCrashNote(aNote, Audience::Neighbours);
    noteBlockedParts();
  }
}

void
RouteDaemon::Impl::recordAnswer(const dispatch::AnsweredRequest& aRequest)
{
  const auto nowMs = clock.now(bootNow());
  dispatcher.crashSuspects().recordAnswer(
    aRequest.digest, aRequest.server, aRequest.serverStartTimeMs, aRequest.sentAtMs, nowMs);
  const auto notes = dispatcher.promptPartSuspects().recordAnswer(aRequest, nowMs);
  for (const auto& it : notes) {
    sendCrashNote(it, Audience::Neighbours);
  }
  if (!notes.empty()) {
    noteBlockedParts();
  }
}

void
RouteDaemon::Impl::receiveCrashNotes(const std::string& aBytes, const std::string& aSender)
{
  Findings findings;
  const auto notes = agent::decodeCrashNotes(aBytes, findings);
  if (!notes || !loads.isNeighbour(aSender)) {
    metrics.count(metrics::Event::LoadMessageIgnored);
    return;
  }
  auto& suspects = dispatcher.promptPartSuspects();
  const auto nowMs = clock.now(bootNow());
  const auto audience = loads.isAgentAddress(aSender) ? Audience::Members : Audience::Neighbours;
  for (const auto& it : *notes) {
    const bool isNew = suspects.add(it, nowMs);
    if (isNew && loads.isAgent()) {
      sendCrashNote(it, audience);
    }
    if (const auto answered = suspects.refute(it, nowMs)) {
      sendCrashNote(*answered, Audience::Neighbours);
    }
  }
  noteBlockedParts();
}

void
RouteDaemon::Impl::noteBlockedParts()
{
  std::set<dispatch::PromptPartId> blocked;
  for (const auto& it : dispatcher.promptPartSuspects().blocked(clock.now(bootNow()))) {
    blocked.insert(it.part);
    if (!blockedParts.contains(it.part)) {
      LogEvent(LogLevel::Warning, "crash.part_blocked").field("part", hexadecimal(it.part)).write();
      sendCrashNote(it, Audience::Neighbours);
    }
  }
  for (const auto part : blockedParts) {
    if (!blocked.contains(part)) {
      LogEvent(LogLevel::Info, "crash.part_unblocked").field("part", hexadecimal(part)).write();
    }
  }
  blockedParts = std::move(blocked);
}

void
RouteDaemon::Impl::repeatBlockedParts()
{
  const auto now = bootNow();
  if (now - blockedRepeatedAt < kBlockedRepeatInterval) {
    return;
  }
  blockedRepeatedAt = now;
  auto& suspects = dispatcher.promptPartSuspects();
  suspects.expire(clock.now(now));
  dispatcher.crashSuspects().expire(clock.now(now));
  noteBlockedParts();
  for (const auto& it : suspects.blocked(clock.now(now))) {
    sendCrashNote(it, Audience::Neighbours);
  }
}

void
RouteDaemon::Impl::sendCrashNote(dispatch::CrashNote aNote, Audience aAudience)
{
  if (loadSocket.is_open()) {
    const auto now = bootNow();
    crashExchange.send(std::move(aNote), aAudience, now);
    armLoadAlarm(*crashExchange.nextAt());
  }
}

}
