#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/platform/platform.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::once {

using platform::LogEntry;
using platform::Offset;

struct Options
{
  InstanceId instance;
  /// Differs for each start of the process.
  std::uint64_t incarnation = 0;
  /// Records that come within this time go into one append, as the log takes only several hundred
  /// appends a second.
  Duration batchInterval = Millis(5);
  std::size_t batchRecords = 64;
  /// An intent that was not read back by then is void: it never runs here, whether or not it is in
  /// the log, so "not run" is true without the log.
  Duration intentTimeout = Seconds(5);
  /// So long after an intent was read, repeats stop waiting for its outcome and are told that it is
  /// unknown. Above the longest usual run.
  Duration unknownAfter = Seconds(60);
  /// So long a caller waits for its outcome to be in the log.
  Duration storeTimeout = Seconds(10);
  /// After which an outcome that was not read back is appended again.
  Duration outcomeRetry = Seconds(2);
  /// Pause after the log refused an append for its rate.
  Duration rateBackoff = Millis(100);
  /// Keys kept, about 110 bytes each. A new key is refused when all of them are still in the log.
  std::size_t maxKeys = 500'000;
  /// Bodies kept for replay; others are read from the log again.
  std::size_t maxBodyBytes = 32 * 1024 * 1024;
  /// Larger answers are not stored; a repeat is then told that the outcome is unknown.
  std::size_t maxStoredBody = 256 * 1024;
  /// Switched off only by tests: requests run without intent.
  bool intents = true;
};

/// A non-idempotent request with an idempotency key asks whether it may run.
struct Begin
{
  RequestId id;
  OrganisationId organisation;
  std::string idempotencyKey;
  /// SHA-256 of method, path and body in hexadecimal.
  std::string bodyDigest;
};

enum class Answer
{
  /// The intent is first in the log: run it, now.
  Run,
  /// Answer with the stored outcome.
  Replay,
  /// Same idempotency key with another body.
  Conflict,
  /// An earlier attempt may have run and its outcome is not known, or no longer.
  Unknown,
  /// Not run: the log cannot be reached, or holds too many keys.
  LogUnavailable,
};

inline constexpr NameTable<Answer, 5> kAnswerNames{ { {
  { Answer::Run, "run" },
  { Answer::Replay, "replay" },
  { Answer::Conflict, "conflict" },
  { Answer::Unknown, "unknown" },
  { Answer::LogUnavailable, "log_unavailable" },
} } };

struct Response
{
  std::uint32_t httpStatus = 0;
  std::string contentType;
  std::string body;
  bool operator==(const Response&) const = default;
};

enum class Execution
{
  /// It ran and this is the answer.
  Known,
  /// It may have run, but no answer came.
  Unknown,
  /// Refused before the first byte was sent to a backend server; another attempt may run.
  NotRun,
};

inline constexpr NameTable<Execution, 3> kExecutionNames{ { {
  { Execution::Known, "known" },
  { Execution::Unknown, "unknown" },
  { Execution::NotRun, "not_run" },
} } };

/// What became of a request that was answered Run.
struct Outcome
{
  RequestId id;
  Execution execution = Execution::Known;
  Response response;
};

// Effects.

/// Append the records together and report with appended().
struct Append
{
  std::uint64_t ticket = 0;
  /// JSON.
  std::vector<std::string> records;
};

/// The answer to begin(), once for each.
struct Decision
{
  RequestId id;
  Answer answer = Answer::Run;
  /// With Replay.
  Response response;
};

/// The answer to outcome(), once for each but NotRun: the caller may have the response.
struct Stored
{
  RequestId id;
  /// False when the log could not be reached in time. A repeat is then told "unknown" rather than
  /// run again, so the caller's answer need not be withheld; the outcome is still appended when the
  /// log returns.
  bool inLog = true;
};

/// Read the log entry at the offset and report with fetched().
struct Fetch
{
  Offset offset = 0;
};

using Effect = std::variant<Append, Decision, Stored, Fetch>;
using Effects = std::vector<Effect>;

/// At-most-once execution of non-idempotent requests, agreed on through the log.
///
/// For each key the first intent in the log runs; others count only after its sender has recorded
/// that it did not run. A request runs only in the process that appended its intent, after reading
/// it back, and within intentTimeout. So a killed process leaves an intent that never runs again,
/// and whether it ran is unknown.
///
/// Has to be given every log entry from the first retained one on, also when the configuration was
/// taken from a snapshot: a key whose intent it has not read looks new.
class AtMostOnce
{
public:
  explicit AtMostOnce(Options aOptions);
  ~AtMostOnce();

  Effects begin(const Begin& aBegin, TimePoint aNow);
  /// The caller left before a decision.
  void cancel(const RequestId& aId);
  Effects outcome(Outcome aOutcome, TimePoint aNow);
  Effects appended(std::uint64_t aTicket,
                   const platform::Result<platform::Appended>& aResult,
                   TimePoint aNow);
  /// Takes in one log entry, in order of offsets; earlier ones are ignored.
  Effects apply(const LogEntry& aEntry, TimePoint aNow);
  /// aEntry is nullptr when it could not be read.
  Effects fetched(Offset aOffset, const LogEntry* aEntry);
  /// Tells the first offset that the log still holds.
  void retained(Offset aFirst);
  Effects tick(TimePoint aNow);

  /// Requests that wait, run or are to be stored.
  std::size_t active() const;
  std::size_t keys() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
