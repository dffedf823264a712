#include "mustardplank/dispatch/prompt_part_suspects.hpp"

#include <algorithm>
#include <tuple>

namespace mustardplank::dispatch {

std::vector<PromptPartId>
PromptPartSuspects::suspectableParts(const std::vector<PromptPart>& aPrompt)
{
  std::vector<PromptPartId> parts;
  for (std::size_t i = 0; i + 1 < aPrompt.size(); ++i) {
    parts.push_back(aPrompt[i].id);
  }
  return parts;
}

bool
PromptPartSuspects::add(const CrashNote& aNote, std::int64_t aNowMs)
{
  return std::visit([&](const auto& aInner) { return apply(aInner, aNowMs); }, aNote);
}

bool
PromptPartSuspects::apply(const ServerLoss& aLoss, std::int64_t aNowMs)
{
  if (aLoss.atMs + kRetentionMs <= aNowMs) {
    return false;
  }
  const auto atMs = std::min(aLoss.atMs, aNowMs);
  const auto [it, isNew] =
    mLosses.try_emplace(Incarnation(aLoss.server, aLoss.serverStartTimeMs), Loss{ atMs, {} });
  auto& parts = it->second.parts;
  bool changed = isNew;
  for (std::size_t place = 0; place < aLoss.parts.size(); ++place) {
    const auto answered = mAnswered.find(aLoss.parts[place]);
    const bool isCleared = answered != mAnswered.end() && answered->second >= atMs;
    if (!isCleared && parts.size() < kMaxPartsOfLoss) {
      changed = parts.try_emplace(aLoss.parts[place], place).second || changed;
    }
  }
  if (mLosses.size() > kMaxLosses) {
    mLosses.erase(
      std::min_element(mLosses.begin(), mLosses.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.atMs < aRight.second.atMs;
      }));
  }
  if (changed) {
    explainLosses();
  }
  return changed;
}

bool
PromptPartSuspects::apply(const PartAnswered& aAnswered, std::int64_t aNowMs)
{
  const auto atMs = std::min(aAnswered.atMs, aNowMs);
  rememberAnswer(aAnswered.part, atMs);
  return clear(aAnswered.part, atMs) > 0;
}

bool
PromptPartSuspects::apply(const PartBlocked& aBlocked, std::int64_t aNowMs)
{
  const auto lastLossMs = std::min(aBlocked.lastLossMs, aNowMs);
  const auto answered = mAnswered.find(aBlocked.part);
  if (lastLossMs + kRetentionMs <= aNowMs ||
      (answered != mAnswered.end() && answered->second >= lastLossMs)) {
    return false;
  }
  const auto it = mBlocked.find(aBlocked.part);
  if (it != mBlocked.end()) {
    const bool isNewer = it->second < lastLossMs;
    it->second = std::max(it->second, lastLossMs);
    return isNewer;
  }
  if (mBlocked.size() >= kMaxBlocked) {
    return false;
  }
  mBlocked.emplace(aBlocked.part, lastLossMs);
  return true;
}

std::vector<CrashNote>
PromptPartSuspects::recordAnswer(const AnsweredRequest& aRequest, std::int64_t aNowMs)
{
  std::vector<CrashNote> notes;
  if (!mLosses.empty()) {
    // Only the connection was lost: the server goes on.
    const auto loss = mLosses.find(Incarnation(aRequest.server, aRequest.serverStartTimeMs));
    if (loss != mLosses.end() && loss->second.atMs < aRequest.sentAtMs) {
      mLosses.erase(loss);
    }
  }
  for (const auto part : suspectableParts(*aRequest.prompt)) {
    rememberAnswer(part, aNowMs);
    if (clear(part, aNowMs) >= kMinAnnouncedLosses) {
      notes.emplace_back(PartAnswered{ part, aNowMs });
    }
  }
  return notes;
}

std::optional<PartAnswered>
PromptPartSuspects::refute(const CrashNote& aNote, std::int64_t aNowMs)
{
  const auto* block = std::get_if<PartBlocked>(&aNote);
  const auto answered = block ? mAnswered.find(block->part) : mAnswered.end();
  if (answered == mAnswered.end() || answered->second < block->lastLossMs) {
    return std::nullopt;
  }
  std::erase_if(mRefuted,
                [&](const auto& aItem) { return aItem.second + kRefutationPauseMs <= aNowMs; });
  if (mRefuted.size() >= kMaxBlocked || !mRefuted.emplace(block->part, aNowMs).second) {
    return std::nullopt;
  }
  return PartAnswered{ block->part, answered->second };
}

std::optional<PromptPartId>
PromptPartSuspects::findBlocked(const std::vector<PromptPart>& aPrompt, std::int64_t aNowMs) const
{
  if (mBlocked.empty()) {
    return std::nullopt;
  }
  for (const auto part : suspectableParts(aPrompt)) {
    const auto it = mBlocked.find(part);
    if (it != mBlocked.end() && it->second + kRetentionMs > aNowMs) {
      return part;
    }
  }
  return std::nullopt;
}

std::vector<PartBlocked>
PromptPartSuspects::blocked(std::int64_t aNowMs) const
{
  std::vector<PartBlocked> list;
  for (const auto& [part, lastLossMs] : mBlocked) {
    if (lastLossMs + kRetentionMs > aNowMs) {
      list.push_back({ part, lastLossMs });
    }
  }
  return list;
}

void
PromptPartSuspects::expire(std::int64_t aNowMs)
{
  std::erase_if(mLosses,
                [&](const auto& aItem) { return aItem.second.atMs + kRetentionMs <= aNowMs; });
  std::erase_if(mBlocked, [&](const auto& aItem) { return aItem.second + kRetentionMs <= aNowMs; });
}

void
PromptPartSuspects::explainLosses()
{
  std::vector<const Loss*> unexplained;
  for (const auto& [incarnation, loss] : mLosses) {
    bool isExplained = false;
    for (const auto& [part, place] : loss.parts) {
      const auto it = mBlocked.find(part);
      if (it != mBlocked.end()) {
        it->second = std::max(it->second, loss.atMs);
        isExplained = true;
      }
    }
    if (!isExplained && !loss.parts.empty()) {
      unexplained.push_back(&loss);
    }
  }
  std::sort(unexplained.begin(), unexplained.end(), [](const Loss* aLeft, const Loss* aRight) {
    return aLeft->atMs < aRight->atMs;
  });
  while (mBlocked.size() < kMaxBlocked) {
    const auto best = bestCandidate(unexplained, mAnswered);
    if (!best || best->losses < kMinLosses) {
      return;
    }
    mBlocked.emplace(best->part, best->lastLossMs);
    std::erase_if(unexplained,
                  [&](const Loss* aLoss) { return aLoss->parts.contains(best->part); });
  }
}

std::optional<PromptPartSuspects::Candidate>
PromptPartSuspects::bestCandidate(const std::vector<const Loss*>& aLosses,
                                  const std::unordered_map<PromptPartId, std::int64_t>& aAnswered)
{
  std::map<PromptPartId, Candidate> candidates;
  for (const auto* loss : aLosses) {
    for (const auto& [part, place] : loss->parts) {
      auto& it = candidates[part];
      const bool isSpaced = it.losses == 0 || loss->atMs - it.lastLossMs >= kLossSpacingMs;
      it.part = part;
      it.place = std::max(it.place, place);
      it.answered = aAnswered.contains(part);
      if (isSpaced) {
        ++it.losses;
        it.lastLossMs = loss->atMs;
      }
    }
  }
  std::optional<Candidate> best;
  // A part that was answered before is less likely the cause; a later part is less widely shared.
  const auto rank = [](const Candidate& aItem) {
    return std::tuple(aItem.losses, !aItem.answered, aItem.place);
  };
  for (const auto& [part, candidate] : candidates) {
    if (!best || rank(candidate) > rank(*best)) {
      best = candidate;
    }
  }
  return best;
}

std::size_t
PromptPartSuspects::clear(PromptPartId aPart, std::int64_t aAtMs)
{
  std::size_t n = 0;
  for (auto& [incarnation, loss] : mLosses) {
    if (loss.atMs <= aAtMs) {
      n += loss.parts.erase(aPart);
    }
  }
  const auto it = mBlocked.find(aPart);
  if (it != mBlocked.end() && it->second <= aAtMs) {
    mBlocked.erase(it);
    n += kMinLosses;
  }
  return n;
}

void
PromptPartSuspects::rememberAnswer(PromptPartId aPart, std::int64_t aAtMs)
{
  if (mAnswered.size() >= kMaxAnswered && !mAnswered.contains(aPart)) {
    mAnswered.clear();
  }
  auto& at = mAnswered[aPart];
  at = std::max(at, aAtMs);
}

}
