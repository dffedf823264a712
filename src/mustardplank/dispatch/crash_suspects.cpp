#include "mustardplank/dispatch/crash_suspects.hpp"

#include <algorithm>
#include <vector>

namespace mustardplank::dispatch {

namespace {

/// Longer than a server needs to restart and callers to retry.
constexpr std::int64_t kRetentionMs = 120'000;
/// Bounds the memory that callers can make the table use; further digests are ignored.
constexpr std::size_t kMaxEntries = 20000;

}

void
CrashSuspects::add(const CrashReport& aReport, std::int64_t aNowMs)
{
  if (mEntries.size() >= kMaxEntries && !mEntries.contains(aReport.digest)) {
    return;
  }
  const bool hasTimes = aReport.lostAtMs != 0;
  const auto lostAtMs = hasTimes ? std::min(aReport.lostAtMs, aNowMs) : aNowMs;
  const auto sentAtMs = hasTimes ? std::min(aReport.sentAtMs, lostAtMs) : aNowMs;
  if (lostAtMs + kRetentionMs <= aNowMs) {
    return;
  }
  const Incarnation incarnation(aReport.server, aReport.serverStartTimeMs);
  auto& contact = mServers[incarnation];
  contact.lastLossMs = std::max(contact.lastLossMs, lostAtMs);
  checkSurvival(contact);
  auto& entry = mEntries[aReport.digest];
  entry.sharing = aReport.sharing;
  if (lostAtMs <= std::max(entry.answeredAtMs, contact.survivedUntilMs)) {
    return;
  }
  entry.losses.try_emplace(incarnation, Loss{ sentAtMs, lostAtMs });
  entry.lastLossMs = std::max(entry.lastLossMs, lostAtMs);
}

void
CrashSuspects::recordAnswer(std::uint64_t aDigest,
                            const BackendServerId& aServer,
                            std::int64_t aServerStartTimeMs,
                            std::int64_t aSentAtMs,
                            std::int64_t aNowMs)
{
  if (const auto it = mEntries.find(aDigest); it != mEntries.end()) {
    it->second.answeredAtMs = aNowMs;
    it->second.losses.clear();
  }
  const Incarnation incarnation(aServer, aServerStartTimeMs);
  auto& contact = mServers[incarnation];
  contact.answeredSentAtMs = std::max(contact.answeredSentAtMs, aSentAtMs);
  if (checkSurvival(contact)) {
    for (auto& [digest, entry] : mEntries) {
      std::erase_if(entry.losses, [&](const auto& aItem) {
        return aItem.first == incarnation && aItem.second.lostAtMs <= contact.survivedUntilMs;
      });
    }
  }
}

bool
CrashSuspects::checkSurvival(ServerContact& aContact)
{
  const bool lives = aContact.lastLossMs > aContact.survivedUntilMs &&
                     aContact.answeredSentAtMs > aContact.lastLossMs &&
                     aContact.answeredSentAtMs <= aContact.lastLossMs + kMinRestartMs;
  if (lives) {
    aContact.survivedUntilMs = aContact.lastLossMs;
  }
  return lives;
}

std::size_t
CrashSuspects::countIndependentLosses(const Entry& aEntry)
{
  std::vector<Loss> losses;
  for (const auto& [incarnation, loss] : aEntry.losses) {
    losses.push_back(loss);
  }
  std::sort(losses.begin(), losses.end(), [](const Loss& aLeft, const Loss& aRight) {
    return aLeft.lostAtMs < aRight.lostAtMs;
  });
  std::size_t n = 0;
  std::int64_t counted = 0;
  for (const auto& it : losses) {
    if (n == 0 || it.sentAtMs >= counted || it.lostAtMs - counted >= kLossSpacingMs) {
      ++n;
      counted = it.lostAtMs;
    }
  }
  return n;
}

bool
CrashSuspects::isSuspect(std::uint64_t aDigest, std::int64_t aNowMs) const
{
  const auto it = mEntries.find(aDigest);
  if (it == mEntries.end() || it->second.losses.size() < kMinLosses ||
      it->second.lastLossMs + kRetentionMs <= aNowMs) {
    return false;
  }
  return it->second.sharing == DigestSharing::Rare ||
         countIndependentLosses(it->second) >= kMinLosses;
}

void
CrashSuspects::expire(std::int64_t aNowMs)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    return std::max(aItem.second.lastLossMs, aItem.second.answeredAtMs) + kRetentionMs <= aNowMs;
  });
  std::erase_if(mServers, [&](const auto& aItem) {
    return std::max(aItem.second.lastLossMs, aItem.second.answeredSentAtMs) + kRetentionMs <=
           aNowMs;
  });
}

}
