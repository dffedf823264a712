#include "mustardplank/once/at_most_once.hpp"

#include "mustardplank/config/fields.hpp"
#include "mustardplank/once/key_table.hpp"
#include "mustardplank/once/records.hpp"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

namespace mustardplank::once {

namespace {

/// A read that the daemon has not answered by then is given up; calls to the log end within 1 s.
constexpr Duration kFetchTimeout = Seconds(5);

enum class State
{
  /// The intent waits for the next batch.
  Queued,
  /// The intent may be in the log.
  Sent,
  /// Another attempt holds the key.
  Waiting,
  Running,
  /// The outcome is to be read back.
  Storing,
  /// The stored response is read from the log.
  Fetching,
};

struct Request
{
  Begin begin;
  Hash key;
  Hash digest;
  State state = State::Queued;
  /// Names the intent; replaced by each new one, so that what an older one leads to is recognised.
  std::string attempt;
  /// Of the state's beginning.
  TimePoint since{};
  Offset intent = 0;
  std::string outcome;
  TimePoint lastTry{};
  bool answered = false;
};

/// An outcome "not run" for an intent that will never run here.
struct Voided
{
  std::string record;
  std::optional<TimePoint> lastTry;
};

struct Queued
{
  std::string record;
  /// Empty for an outcome.
  std::string attempt;
};

}

struct AtMostOnce::Impl
{
  explicit Impl(Options aOptions)
    : options(std::move(aOptions))
    , cache(options.maxBodyBytes)
  {
  }

  Options options;
  KeyTable table;
  ResponseCache cache;
  std::optional<Offset> next;
  Offset firstRetained = 0;
  std::unordered_map<RequestId, Request> requests;
  std::unordered_map<std::string, RequestId> byAttempt;
  std::unordered_multimap<Hash, RequestId, HashOfHash> byKey;
  std::unordered_map<std::string, Voided> voided;
  std::deque<Queued> queue;
  std::unordered_map<std::uint64_t, std::vector<Queued>> tickets;
  std::uint64_t lastTicket = 0;
  std::uint64_t lastAttempt = 0;
  std::optional<TimePoint> lastFlush;
  TimePoint notBefore{};

  // Answers.

  void finish(const RequestId& aId)
  {
    const auto it = requests.find(aId);
    byAttempt.erase(it->second.attempt);
    const auto [first, last] = byKey.equal_range(it->second.key);
    const auto own =
      std::find_if(first, last, [&](const auto& aItem) { return aItem.second == aId; });
    if (own != last) {
      byKey.erase(own);
    }
    requests.erase(it);
  }

  void answer(Request& aRequest, Answer aAnswer, Effects& aEffects, Response aResponse = {})
  {
    const RequestId id = aRequest.begin.id;
    aEffects.emplace_back(Decision{ id, aAnswer, std::move(aResponse) });
    finish(id);
  }

  void run(Request& aRequest, TimePoint aNow, Effects& aEffects)
  {
    aRequest.state = State::Running;
    aRequest.since = aNow;
    aEffects.emplace_back(Decision{ aRequest.begin.id, Answer::Run, {} });
  }

  // Intents.

  void enqueueIntent(Request& aRequest, TimePoint aNow)
  {
    byAttempt.erase(aRequest.attempt);
    aRequest.attempt = options.instance.str() + "/" + std::to_string(options.incarnation) + "/" +
                       std::to_string(++lastAttempt);
    aRequest.state = State::Queued;
    aRequest.since = aNow;
    byAttempt[aRequest.attempt] = aRequest.begin.id;
    queue.push_back({ encode(IntentRecord{ aRequest.begin.organisation,
                                           aRequest.key,
                                           aRequest.digest,
                                           options.instance,
                                           options.incarnation,
                                           aRequest.attempt }),
                      aRequest.attempt });
  }

  /// The request of the intent, as long as that may still run.
  Request* findByAttempt(const std::string& aAttempt)
  {
    const auto it = byAttempt.find(aAttempt);
    return it == byAttempt.end() ? nullptr : &requests.at(it->second);
  }

  bool isVoid(const Request& aRequest, TimePoint aNow) const
  {
    return aNow - aRequest.since > options.intentTimeout;
  }

  /// Records that the intent, which is in the log, will not run.
  void recordNotRun(const Hash& aKey,
                    const Hash& aDigest,
                    const std::string& aAttempt,
                    Offset aIntent)
  {
    OutcomeRecord record{ aKey, aDigest, aAttempt, aIntent, Execution::NotRun, {} };
    voided[aAttempt] = { encode(record), std::nullopt };
  }

  // States of keys.

  /// Answers the request, or lets it wait or try, according to the state of its key.
  void followKey(Request& aRequest, TimePoint aNow, Effects& aEffects)
  {
    const auto* key = table.find(aRequest.key);
    if (key == nullptr) {
      followFreeKey(aRequest, aNow, aEffects);
    } else if (key->digest != aRequest.digest) {
      answer(aRequest, Answer::Conflict, aEffects);
    } else if (const auto* holder = table.holder(aRequest.key); holder != nullptr) {
      waitFor(*holder, aRequest, aNow, aEffects);
    } else if (!key->known) {
      answer(aRequest, Answer::Unknown, aEffects);
    } else {
      replay(*key->outcome, aRequest, aNow, aEffects);
    }
  }

  void followFreeKey(Request& aRequest, TimePoint aNow, Effects& aEffects)
  {
    if (table.size() >= options.maxKeys) {
      table.shrink(options.maxKeys - 1, firstRetained);
    }
    if (table.size() >= options.maxKeys) {
      answer(aRequest, Answer::LogUnavailable, aEffects);
      return;
    }
    enqueueIntent(aRequest, aNow);
  }

  void waitFor(const KeyTable::Holder& aHolder,
               Request& aRequest,
               TimePoint aNow,
               Effects& aEffects)
  {
    byAttempt.erase(aRequest.attempt);
    if (aNow - aHolder.readAt >= options.unknownAfter) {
      answer(aRequest, Answer::Unknown, aEffects);
      return;
    }
    aRequest.state = State::Waiting;
    aRequest.since = aHolder.readAt;
  }

  void replay(Offset aOutcome, Request& aRequest, TimePoint aNow, Effects& aEffects)
  {
    if (const auto* response = cache.find(aOutcome); response != nullptr) {
      answer(aRequest, Answer::Replay, aEffects, *response);
    } else if (aOutcome < firstRetained) {
      answer(aRequest, Answer::Unknown, aEffects);
    } else {
      byAttempt.erase(aRequest.attempt);
      aRequest.state = State::Fetching;
      aRequest.since = aNow;
      aRequest.intent = aOutcome;
      aEffects.emplace_back(Fetch{ aOutcome });
    }
  }

  /// Requests for the key that have no decision yet.
  std::vector<RequestId> undecided(const Hash& aKey) const
  {
    std::vector<RequestId> ids;
    const auto [first, last] = byKey.equal_range(aKey);
    for (auto it = first; it != last; ++it) {
      const auto state = requests.at(it->second).state;
      if (state == State::Queued || state == State::Sent || state == State::Waiting) {
        ids.push_back(it->second);
      }
    }
    // The container's order depends on its history; requests follow in the order of their ids.
    std::sort(ids.begin(), ids.end());
    return ids;
  }

  void followAll(const Hash& aKey, TimePoint aNow, Effects& aEffects)
  {
    for (const auto& it : undecided(aKey)) {
      followKey(requests.at(it), aNow, aEffects);
    }
  }

  // Log entries.

  void onIntent(const IntentRecord& aRecord, Offset aOffset, TimePoint aNow, Effects& aEffects)
  {
    if (!table.applyIntent(aRecord, aOffset, aNow)) {
      return;
    }
    if (aRecord.instance == options.instance && aRecord.incarnation == options.incarnation) {
      onOwnIntent(aRecord, aOffset, aNow, aEffects);
    }
    followAll(aRecord.key, aNow, aEffects);
  }

  void onOwnIntent(const IntentRecord& aRecord, Offset aOffset, TimePoint aNow, Effects& aEffects)
  {
    auto* request = findByAttempt(aRecord.attempt);
    if (request != nullptr && !isVoid(*request, aNow)) {
      request->intent = aOffset;
      run(*request, aNow, aEffects);
      return;
    }
    if (request != nullptr) {
      answer(*request, Answer::LogUnavailable, aEffects);
    }
    recordNotRun(aRecord.key, aRecord.digest, aRecord.attempt, aOffset);
  }

  void onOutcome(const OutcomeRecord& aRecord, Offset aOffset, TimePoint aNow, Effects& aEffects)
  {
    const bool ends = table.applyOutcome(aRecord, aOffset);
    voided.erase(aRecord.attempt);
    if (aRecord.execution == Execution::Known && ends) {
      cache.add(aOffset, aRecord.response);
    }
    if (auto* request = findByAttempt(aRecord.attempt);
        request != nullptr && request->state == State::Storing) {
      stored(*request, true, aEffects);
      finish(request->begin.id);
    }
    if (ends) {
      followAll(aRecord.key, aNow, aEffects);
    }
  }

  void stored(Request& aRequest, bool aInLog, Effects& aEffects)
  {
    if (!aRequest.answered) {
      aEffects.emplace_back(Stored{ aRequest.begin.id, aInLog });
    }
    aRequest.answered = true;
  }

  /// Entries are missing: intents sent before may be among them and can no longer be judged.
  void onGap(Offset aOffset, Effects& aEffects)
  {
    table.startAt(aOffset);
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests) {
      if (request.state == State::Sent || request.state == State::Waiting) {
        ids.push_back(id);
      }
    }
    std::sort(ids.begin(), ids.end());
    for (const auto& it : ids) {
      auto& request = requests.at(it);
      answer(
        request, request.state == State::Sent ? Answer::LogUnavailable : Answer::Unknown, aEffects);
    }
  }

  // Appends.

  bool isWanted(const Queued& aQueued)
  {
    if (aQueued.attempt.empty()) {
      return true;
    }
    const auto* request = findByAttempt(aQueued.attempt);
    return request != nullptr && request->state == State::Queued;
  }

  void flush(TimePoint aNow, Effects& aEffects)
  {
    std::erase_if(queue, [&](const Queued& aQueued) { return !isWanted(aQueued); });
    while (!queue.empty() && aNow >= notBefore && isFlushDue(aNow)) {
      flushBatch(aNow, aEffects);
    }
  }

  bool isFlushDue(TimePoint aNow) const
  {
    return queue.size() >= options.batchRecords || !lastFlush ||
           aNow - *lastFlush >= options.batchInterval;
  }

  void flushBatch(TimePoint aNow, Effects& aEffects)
  {
    Append append{ ++lastTicket, {} };
    auto& sent = tickets[lastTicket];
    while (!queue.empty() && append.records.size() < options.batchRecords) {
      append.records.push_back(queue.front().record);
      if (auto* request = findByAttempt(queue.front().attempt); request != nullptr) {
        request->state = State::Sent;
      }
      sent.push_back(std::move(queue.front()));
      queue.pop_front();
    }
    lastFlush = aNow;
    aEffects.emplace_back(std::move(append));
  }

  /// The records are certainly not in the log.
  void onRefused(std::vector<Queued> aRecords, bool aTryAgain, Effects& aEffects)
  {
    for (auto it = aRecords.rbegin(); it != aRecords.rend(); ++it) {
      auto* request = findByAttempt(it->attempt);
      if (request == nullptr || request->state != State::Sent) {
        continue;
      }
      if (aTryAgain) {
        request->state = State::Queued;
        queue.push_front(std::move(*it));
      } else {
        answer(*request, Answer::LogUnavailable, aEffects);
      }
    }
  }

  // Time.

  void tickRequest(Request& aRequest, TimePoint aNow, Effects& aEffects)
  {
    const auto age = aNow - aRequest.since;
    switch (aRequest.state) {
      case State::Queued:
      case State::Sent:
        if (isVoid(aRequest, aNow)) {
          answer(aRequest, Answer::LogUnavailable, aEffects);
        }
        break;
      case State::Waiting:
        if (age >= options.unknownAfter) {
          answer(aRequest, Answer::Unknown, aEffects);
        }
        break;
      case State::Storing:
        tickStoring(aRequest, aNow, aEffects);
        break;
      case State::Fetching:
        if (age >= kFetchTimeout) {
          answer(aRequest, Answer::Unknown, aEffects);
        }
        break;
      case State::Running:
        break;
    }
  }

  void tickStoring(Request& aRequest, TimePoint aNow, Effects& aEffects)
  {
    if (aNow - aRequest.since >= options.storeTimeout) {
      stored(aRequest, false, aEffects);
    }
    if (aNow - aRequest.lastTry >= options.outcomeRetry) {
      aRequest.lastTry = aNow;
      queue.push_back({ aRequest.outcome, "" });
    }
  }

  void tickVoided(TimePoint aNow)
  {
    for (auto& [attempt, it] : voided) {
      if (!it.lastTry || aNow - *it.lastTry >= options.outcomeRetry) {
        it.lastTry = aNow;
        queue.push_back({ it.record, "" });
      }
    }
  }

  std::string encodeOutcome(const Request& aRequest, Outcome aOutcome) const
  {
    OutcomeRecord record{ aRequest.key,    aRequest.digest,    aRequest.attempt,
                          aRequest.intent, aOutcome.execution, std::move(aOutcome.response) };
    if (record.response.body.size() > options.maxStoredBody) {
      record.execution = Execution::Unknown;
    }
    return encode(record);
  }

  void onResult(Request& aRequest, Outcome aOutcome, TimePoint aNow, Effects& aEffects)
  {
    if (aOutcome.execution == Execution::NotRun) {
      if (options.intents) {
        recordNotRun(aRequest.key, aRequest.digest, aRequest.attempt, aRequest.intent);
      }
      finish(aRequest.begin.id);
      return;
    }
    if (!options.intents) {
      stored(aRequest, true, aEffects);
      finish(aRequest.begin.id);
      return;
    }
    aRequest.state = State::Storing;
    aRequest.since = aNow;
    aRequest.lastTry = aNow;
    aRequest.outcome = encodeOutcome(aRequest, std::move(aOutcome));
    queue.push_back({ aRequest.outcome, "" });
  }
};

AtMostOnce::AtMostOnce(Options aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

AtMostOnce::~AtMostOnce() = default;

Effects
AtMostOnce::begin(const Begin& aBegin, TimePoint aNow)
{
  Effects effects;
  Request request;
  request.begin = aBegin;
  request.key = keyHash(aBegin.organisation, aBegin.idempotencyKey);
  request.digest = Hash::parse(aBegin.bodyDigest);
  const auto [it, added] = mImpl->requests.emplace(aBegin.id, std::move(request));
  if (!added) {
    return effects;
  }
  mImpl->byKey.emplace(it->second.key, aBegin.id);
  if (mImpl->options.intents) {
    mImpl->followKey(it->second, aNow, effects);
  } else {
    mImpl->run(it->second, aNow, effects);
  }
  mImpl->flush(aNow, effects);
  return effects;
}

void
AtMostOnce::cancel(const RequestId& aId)
{
  const auto it = mImpl->requests.find(aId);
  const bool decided = it == mImpl->requests.end() || it->second.state == State::Running ||
                       it->second.state == State::Storing;
  if (!decided) {
    mImpl->finish(aId);
  }
}

Effects
AtMostOnce::outcome(Outcome aOutcome, TimePoint aNow)
{
  Effects effects;
  const auto it = mImpl->requests.find(aOutcome.id);
  if (it == mImpl->requests.end() || it->second.state != State::Running) {
    return effects;
  }
  mImpl->onResult(it->second, std::move(aOutcome), aNow, effects);
  mImpl->tickVoided(aNow);
  mImpl->flush(aNow, effects);
  return effects;
}

Effects
AtMostOnce::appended(std::uint64_t aTicket,
                     const platform::Result<platform::Appended>& aResult,
                     TimePoint aNow)
{
  Effects effects;
  auto records = mImpl->tickets.extract(aTicket);
  const auto* failure = std::get_if<platform::Failure>(&aResult);
  if (records.empty() || failure == nullptr) {
    return effects;
  }
  const bool rate = failure->kind == platform::FailureKind::RateLimited;
  if (rate) {
    mImpl->notBefore = aNow + mImpl->options.rateBackoff;
  }
  // After any other failure the records may be in the log, or come there later.
  if (rate || failure->kind == platform::FailureKind::NoEffect) {
    mImpl->onRefused(std::move(records.mapped()), rate, effects);
  }
  return effects;
}

Effects
AtMostOnce::apply(const LogEntry& aEntry, TimePoint aNow)
{
  Effects effects;
  if (mImpl->next && aEntry.offset < *mImpl->next) {
    return effects;
  }
  if (!mImpl->next) {
    mImpl->table.startAt(aEntry.offset);
  } else if (aEntry.offset > *mImpl->next) {
    mImpl->onGap(aEntry.offset, effects);
  }
  mImpl->next = aEntry.offset + 1;
  const auto kind = config::readableKind(*aEntry.record);
  if (kind == config::RecordKind::OnceIntent) {
    if (const auto record = decodeIntent(*aEntry.record)) {
      mImpl->onIntent(*record, aEntry.offset, aNow, effects);
    }
  } else if (kind == config::RecordKind::OnceOutcome) {
    if (const auto record = decodeOutcome(*aEntry.record)) {
      mImpl->onOutcome(*record, aEntry.offset, aNow, effects);
    }
  }
  mImpl->flush(aNow, effects);
  return effects;
}

Effects
AtMostOnce::fetched(Offset aOffset, const LogEntry* aEntry)
{
  Effects effects;
  std::optional<OutcomeRecord> record;
  if (aEntry != nullptr && aEntry->offset == aOffset) {
    record = decodeOutcome(*aEntry->record);
  }
  std::vector<RequestId> ids;
  for (const auto& [id, request] : mImpl->requests) {
    if (request.state == State::Fetching && request.intent == aOffset) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const auto& it : ids) {
    auto& request = mImpl->requests.at(it);
    if (record && record->key == request.key) {
      mImpl->answer(request, Answer::Replay, effects, record->response);
    } else {
      mImpl->answer(request, Answer::Unknown, effects);
    }
  }
  return effects;
}

void
AtMostOnce::retained(Offset aFirst)
{
  mImpl->firstRetained = std::max(mImpl->firstRetained, aFirst);
}

Effects
AtMostOnce::tick(TimePoint aNow)
{
  Effects effects;
  std::vector<RequestId> ids;
  for (const auto& [id, request] : mImpl->requests) {
    if (request.state != State::Running) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const auto& it : ids) {
    mImpl->tickRequest(mImpl->requests.at(it), aNow, effects);
  }
  mImpl->tickVoided(aNow);
  mImpl->flush(aNow, effects);
  return effects;
}

std::size_t
AtMostOnce::active() const
{
  return mImpl->requests.size();
}

std::size_t
AtMostOnce::keys() const
{
  return mImpl->table.size();
}

}
