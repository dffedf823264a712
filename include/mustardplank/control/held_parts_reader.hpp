#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/platform/http_client.hpp"
#include "mustardplank/platform/platform.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::control {

/// A server has begun to hold a prompt part in its prefix cache, or has evicted it.
struct HeldPartEvent
{
  /// Rises with each event of a server.
  std::uint64_t number = 0;
  /// As dispatch::PromptPart::id.
  std::uint64_t part = 0;
  bool held = false;

  bool operator==(const HeldPartEvent&) const = default;
};

/// Events of one server.
struct HeldPartsReport
{
  /// Differs after a restart of the server; numbers of events begin anew then.
  std::string epoch;
  /// Where the next report is to begin.
  std::uint64_t next = 0;
  /// The server no longer has all events since the requested one.
  bool lost = false;
  std::vector<HeldPartEvent> events;
};

/// The calls that servers offer, as a table of functions, like StoreDialect. Does no I/O.
struct ServerDialect
{
  /// aMaxWait: how long the server may hold back the answer until there is an event (long poll).
  platform::HttpRequest (*makeReportCall)(std::uint64_t aSince, Duration aMaxWait);
  /// Fails with RateLimited while too many calls wait at the server.
  platform::Result<HeldPartsReport> (*decodeReport)(const platform::HttpResponse& aAnswer);
};

/// Position in the events of one server. Does no I/O.
class HeldPartsReader
{
public:
  /// What a report changes.
  struct Step
  {
    /// Nothing that was known before counts any more.
    bool resets = false;
    /// After a reset: whether all that the server holds is known once the events are applied.
    bool complete = true;
    /// In order.
    std::vector<HeldPartEvent> events;
  };

  std::uint64_t since() const { return mNext; }
  Step record(HeldPartsReport aReport);

private:
  /// Nothing until the first report.
  std::optional<std::string> mEpoch;
  std::uint64_t mNext = 0;
};

}
