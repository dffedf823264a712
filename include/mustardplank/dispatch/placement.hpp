#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/dispatch/server_state.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace mustardplank::dispatch {

/// How a server is picked for a request.
enum class Policy
{
  /// Least predicted time to the first event, with homes for shared prompt parts and long prompts
  /// kept apart from short streams.
  Predicted,
  /// The less loaded of two servers picked at random, by reports. Baseline.
  TwoChoices,
  /// The server with the least reported load. Baseline.
  LeastLoad,
};

inline constexpr NameTable<Policy, 3> kPolicyNames{ { {
  { Policy::Predicted, "predicted" },
  { Policy::TwoChoices, "two_choices" },
  { Policy::LeastLoad, "least_load" },
} } };

/// Costs of a choice in time to the first event, for what has no time of its own.
struct PlacementCosts
{
  /// Round trip to another failure domain, and the risk that the way there is cut while it runs.
  Duration crossDomain = Millis(25);
  /// Each kilobyte that crosses into another failure domain; from the price of traffic there.
  Duration crossDomainPerKib = Millis(2);
  /// Each 1,000 shared tokens that a server reads although another one keeps them, besides the time
  /// that the reading takes.
  Duration duplicatePrefillPer1000Tokens = Millis(30);
  /// The second home of a shared part: used only when the first has this much more to do, so that
  /// on calm days it does not read the part at all.
  Duration secondaryCacheServer = Millis(200);
  /// An answer that is predicted to be late.
  Duration missedTarget = Millis(400);
  /// A short stream beside long prompts: its pauses grow by the chunks that are read.
  Duration shortOnLongServer = Millis(120);
  /// A long prompt beside short streams, for each of them.
  Duration longOnShortServerPerStream = Millis(80);
  /// A server in a failure domain whose servers fail together.
  Duration suspectDomain = Millis(800);
  /// A server that fails all requests.
  Duration failingServer = Millis(1500);
};

/// What one service's traffic looks like at this instance.
struct ServiceModel
{
  /// Prompt tokens that an engine reads in a millisecond.
  double prefillTokensPerMs = 50.0;
  /// Time to the first event of an empty prompt on an idle server.
  Duration baseTime = Millis(15);
  /// Mean time that a request occupies a slot, for services without an engine.
  Duration meanSlotTime = Millis(15);
  /// Share of a failure domain's servers that serve short prompts.
  double shortServerShare = 0.4;
  /// Tokens of other instances' long prompts that wait at a server, on average.
  double remotePrefillTokens = 0.0;
  /// Short streams of all instances on each server for them.
  double streamsPerShortServer = 0.0;
};

struct Choice
{
  ServerState* server = nullptr;
  /// Predicted time to the first event.
  Duration estimate{};
  /// Prompt tokens to read there.
  std::uint32_t prefillTokens = 0;
};

struct PlacementInput
{
  const Job* job = nullptr;
  const ServiceModel* model = nullptr;
  const PlacementCosts* costs = nullptr;
  const std::vector<ServerState*>* servers = nullptr;
  FailureDomainId ownDomain;
  /// Whether any of the servers is in it.
  bool hasServerInOwnDomain = true;
  /// Failure domains whose servers fail together.
  std::vector<FailureDomainId> suspectDomains{};
  bool hasEngine = false;
  TimePoint now{};
  /// Requests a second that this instance may send to a cold server.
  std::size_t coldRateLimit = 1;
};

/// Whether a prompt is long enough to hold up the streams beside it.
bool
isLongPrompt(const Job& aJob);

/// Tokens that the server would have to read.
std::uint32_t
countUncachedTokens(const Job& aJob, const ServerState& aServer);

/// Predicted time to the first event on this server, reading aUnread tokens. aLongGroup: the server
/// is one of those for long prompts, at which other instances' prompts may wait too.
Duration
predictFirstEvent(const PlacementInput& aInput,
                  const ServerState& aServer,
                  std::uint32_t aPrefillTokens,
                  bool aIsLongServer);

/// Picks among the servers that have room; nothing when none has.
///
/// Load pattern: long prompts that share parts, beside short streams with tight pauses, in bursts.
/// Each shared part has a home (by rendezvous hashing, so all instances agree without messages);
/// short streams take servers from one end of an order that all instances know, long prompts from
/// the other.
std::optional<Choice>
choosePredicted(const PlacementInput& aInput);

/// The baselines.
std::optional<Choice>
chooseTwoChoices(const PlacementInput& aInput, std::minstd_rand& aRandom);
std::optional<Choice>
chooseLeastLoad(const PlacementInput& aInput);

}
