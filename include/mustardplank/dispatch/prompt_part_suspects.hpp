#pragma once

#include "mustardplank/dispatch/crash_note.hpp"
#include "mustardplank/dispatch/job.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardplank::dispatch {

/// A request that was answered completely.
struct AnsweredRequest
{
  /// CrashReport::digest of the request.
  std::uint64_t digest = 0;
  const std::vector<PromptPart>* prompt = nullptr;
  BackendServerId server;
  std::int64_t serverStartTimeMs = 0;
  /// On the clock of the notes.
  std::int64_t sentAtMs = 0;
};

/// Finds the prompt parts that crash the servers that begin to answer requests with them. Does no
/// I/O and reads no clock; times are of the notes' clock.
///
/// Load pattern: requests that differ in all but one part of their prompts crash server after
/// server, while sound requests share their organisation and their other parts. A loss of a server
/// casts suspicion on the parts of the requests that it began to answer. A part is cleared of all
/// losses before a complete answer to a request with it. The remaining losses are explained by the
/// fewest parts: the one that most of them have in common is blocked once it explains kMinLosses,
/// and its losses count against no other part. The last part of a prompt belongs to the request or
/// its session alone and is never suspected.
///
///     suspects.add(ServerLoss{ server, startTimeMs, nowMs, parts }, nowMs);
///     suspects.findBlocked(prompt, nowMs);  // refuse the request if there is one
class PromptPartSuspects
{
public:
  /// Losses of servers that one part has to explain.
  static constexpr std::size_t kMinLosses = 4;
  /// An answer that clears a part of this many losses is sent to the other instances.
  static constexpr std::size_t kMinAnnouncedLosses = 2;
  /// Losses within this time count once: servers that fail together have another common cause.
  static constexpr std::int64_t kLossSpacingMs = 500;
  /// A part stays blocked for this long after the last loss, which then casts no suspicion either.
  static constexpr std::int64_t kRetentionMs = 120'000;
  /// Bounds of the memory; the oldest loss is dropped first.
  static constexpr std::size_t kMaxLosses = 64;
  static constexpr std::size_t kMaxPartsOfLoss = 256;
  static constexpr std::size_t kMaxBlocked = 256;
  static constexpr std::size_t kMaxAnswered = 4096;
  static constexpr std::int64_t kRefutationPauseMs = 1000;

  /// The parts of a prompt that may be suspected, in order.
  static std::vector<PromptPartId> suspectableParts(const std::vector<PromptPart>& aPrompt);

  /// Adds what this or another instance has seen, with times in the future taken for aNowMs.
  /// Returns whether it changes anything.
  bool add(const CrashNote& aNote, std::int64_t aNowMs);
  /// Returns the notes that other instances need: answers that clear a part of a loss or a block.
  std::vector<CrashNote> recordAnswer(const AnsweredRequest& aRequest, std::int64_t aNowMs);
  /// The answer that refutes another instance's block; nothing if none is known, or if one was
  /// returned for this part within kRefutationPauseMs.
  ///
  /// Load pattern: a part that all requests of a route share is blocked wrongly on some instances.
  /// They refuse these requests, so only the others see answers to them.
  std::optional<PartAnswered> refute(const CrashNote& aNote, std::int64_t aNowMs);
  std::optional<PromptPartId> findBlocked(const std::vector<PromptPart>& aPrompt,
                                          std::int64_t aNowMs) const;
  std::vector<PartBlocked> blocked(std::int64_t aNowMs) const;
  void expire(std::int64_t aNowMs);

private:
  /// Server and start time.
  using Incarnation = std::pair<BackendServerId, std::int64_t>;
  struct Loss
  {
    std::int64_t atMs = 0;
    /// Suspected parts with their place in the prompt.
    std::map<PromptPartId, std::size_t> parts;
  };
  struct Candidate
  {
    PromptPartId part = 0;
    std::size_t losses = 0;
    bool answered = false;
    std::size_t place = 0;
    std::int64_t lastLossMs = 0;
  };

  bool apply(const ServerLoss& aLoss, std::int64_t aNowMs);
  bool apply(const PartAnswered& aAnswered, std::int64_t aNowMs);
  bool apply(const PartBlocked& aBlocked, std::int64_t aNowMs);
  using Losses = std::map<Incarnation, Loss>;

  bool addPart(Loss& aLoss, PromptPartId aPart, std::size_t aPlace);
  bool removePart(Loss& aLoss, PromptPartId aPart);
  void eraseLoss(Losses::iterator aLoss);
  /// One loss less has the part.
  void forgetPart(PromptPartId aPart);
  /// Blocks the parts that explain the losses.
  void explainLosses();
  /// The part in mFrequent that explains most of these losses, which are in order of time.
  std::optional<Candidate> bestCandidate(const std::vector<const Loss*>& aLosses) const;
  /// Removes the part from the losses up to aAtMs, and its block, which counts as kMinLosses;
  /// returns from how many losses.
  std::size_t clear(PromptPartId aPart, std::int64_t aAtMs);
  void rememberAnswer(PromptPartId aPart, std::int64_t aAtMs);

  Losses mLosses;
  /// Number of losses by part.
  std::unordered_map<PromptPartId, std::size_t> mLossCounts;
  /// Parts of kMinLosses losses or more: only these can be blocked.
  std::set<PromptPartId> mFrequent;
  /// Time of the last loss by blocked part.
  std::map<PromptPartId, std::int64_t> mBlocked;
  /// Time of the last complete answer.
  std::unordered_map<PromptPartId, std::int64_t> mAnswered;
  /// Time of the last refutation by part.
  std::map<PromptPartId, std::int64_t> mRefuted;
};

}
