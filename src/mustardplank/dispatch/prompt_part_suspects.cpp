#include "mustardplank/dispatch/prompt_part_suspects.hpp"

#include <algorithm>
#include <iterator>
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
  const auto& parts = it->second.parts;
  bool changed = isNew;
  for (std::size_t place = 0; place < aLoss.parts.size(); ++place) {
    const auto answered = mAnswered.find(aLoss.parts[place]);
    const bool isCleared = answered != mAnswered.end() && answered->second >= atMs;
    if (!isCleared && parts.size() < kMaxPartsOfLoss) {
      changed = addPart(it->second, aLoss.parts[place], place) || changed;
    }
  }
  if (mLosses.size() > kMaxLosses) {
    const auto oldest =
      std::min_element(mLosses.begin(), mLosses.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.atMs < aRight.second.atMs;
      });
    changed = changed && oldest != it;
    eraseLoss(oldest);
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
      eraseLoss(loss);
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
  for (auto it = mLosses.begin(); it != mLosses.end();) {
    const auto next = std::next(it);
    if (it->second.atMs + kRetentionMs <= aNowMs) {
      eraseLoss(it);
    }
    it = next;
  }
  std::erase_if(mBlocked, [&](const auto& aItem) { return aItem.second + kRetentionMs <= aNowMs; });
}

bool
PromptPartSuspects::addPart(Loss& aLoss, PromptPartId aPart, std::size_t aPlace)
{
  const bool isNew = aLoss.parts.try_emplace(aPart, aPlace).second;
  if (isNew && ++mLossCounts[aPart] == kMinLosses) {
    mFrequent.insert(aPart);
  }
  return isNew;
}

bool
PromptPartSuspects::removePart(Loss& aLoss, PromptPartId aPart)
{
  const bool isRemoved = aLoss.parts.erase(aPart) > 0;
  if (isRemoved) {
    forgetPart(aPart);
  }
  return isRemoved;
}

void
PromptPartSuspects::eraseLoss(Losses::iterator aLoss)
{
  for (const auto& [part, place] : aLoss->second.parts) {
    forgetPart(part);
  }
  mLosses.erase(aLoss);
}

void
PromptPartSuspects::forgetPart(PromptPartId aPart)
{
  const auto it = mLossCounts.find(aPart);
  if (it->second-- == kMinLosses) {
    mFrequent.erase(aPart);
  }
  if (it->second == 0) {
    mLossCounts.erase(it);
  }
}

void
PromptPartSuspects::explainLosses()
{
  // Load pattern: half of the servers are lost in a burst, each under requests with many parts that
  // no other loss has. Only parts that are frequent enough to be blocked are looked at.
  if (mFrequent.empty() && mBlocked.empty()) {
    return;
  }
  std::vector<const Loss*> unexplained;
  for (const auto& [incarnation, loss] : mLosses) {
    bool isExplained = false;
    for (auto& [part, lastLossMs] : mBlocked) {
      if (loss.parts.contains(part)) {
        lastLossMs = std::max(lastLossMs, loss.atMs);
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
    const auto best = bestCandidate(unexplained);
    if (!best || best->losses < kMinLosses) {
      return;
    }
    mBlocked.emplace(best->part, best->lastLossMs);
    std::erase_if(unexplained,
                  [&](const Loss* aLoss) { return aLoss->parts.contains(best->part); });
  }
}

std::optional<PromptPartSuspects::Candidate>
PromptPartSuspects::bestCandidate(const std::vector<const Loss*>& aLosses) const
{
  std::optional<Candidate> best;
  // A part that was answered before is less likely the cause; a later part is less widely shared.
  const auto rank = [](const Candidate& aItem) {
    return std::tuple(aItem.losses, !aItem.answered, aItem.place);
  };
  for (const auto part : mFrequent) {
    Candidate candidate;
    candidate.part = part;
    candidate.answered = mAnswered.contains(part);
    for (const auto* loss : aLosses) {
      const auto it = loss->parts.find(part);
      if (it == loss->parts.end()) {
        continue;
      }
      candidate.place = std::max(candidate.place, it->second);
      if (candidate.losses == 0 || loss->atMs - candidate.lastLossMs >= kLossSpacingMs) {
        ++candidate.losses;
        candidate.lastLossMs = loss->atMs;
      }
    }
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
      n += removePart(loss, aPart) ? 1 : 0;
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
