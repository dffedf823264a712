#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/dispatch/event_intervals.hpp"
#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/dispatch/server_state.hpp"
#include "mustardplank/dispatch/version_gate.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace mustardplank::dispatch {

/// How a server is chosen for a request.
enum class Policy
{
  /// Least predicted time to the first event. Each shared prompt part has a primary and a secondary
  /// preferred server, and long prompts are kept apart from short streams.
  Predicted,
  /// The less loaded of two random servers, by estimated load. For comparison.
  TwoChoices,
  /// The server with the least estimated load. For comparison.
  LeastLoad,
};

inline constexpr NameTable<Policy, 3> kPolicyNames{ { {
  { Policy::Predicted, "predicted" },
  { Policy::TwoChoices, "two_choices" },
  { Policy::LeastLoad, "least_load" },
} } };

/// Penalties of a choice, expressed as additional time to the first event.
struct PlacementCosts
{
  /// Round trip to another failure domain, and the risk of a network partition during the request.
  Duration crossDomain = Millis(25);
  /// Per KiB sent to another failure domain, for the price of that traffic.
  Duration crossDomainPerKib = Millis(2);
  /// Per 1,000 shared tokens that a server has to prefill because it is not a preferred server,
  /// which is assumed to cache them, besides the time of the prefill itself. Under load it delays
  /// all requests behind it.
  Duration duplicatePrefillPer1000Tokens = Millis(100);
  /// The same while the load of the other instances is known, so that a queue at the preferred
  /// servers is seen and a request that would be late there can be refused.
  Duration duplicatePrefillPer1000TokensKnown = Millis(400);
  /// The secondary preferred server of a shared part. It is used only when the primary one is this
  /// much slower, so that it never prefills the part under light load.
  Duration secondaryPreferredServer = Millis(200);
  /// A response that is predicted to miss its target.
  Duration missedTarget = Millis(400);
  /// A short stream on a server for long prompts in this instance's failure domain, as their
  /// prefill chunks lengthen the stream's event gaps. In other failure domains only crossDomain and
  /// crossDomainPerKib are added.
  Duration shortOnLongServer = Millis(120);
  /// A long prompt on a server for short streams, per stream there.
  Duration longOnShortServerPerStream = Millis(80);
  /// A server in a failure domain whose servers fail together.
  Duration suspectDomain = Millis(800);
  /// A server that fails all requests; scaled by the failure rate.
  Duration failingServer = Millis(1500);
  /// A stream whose gaps are predicted to exceed their target.
  Duration missedEventGap = Millis(400);
};

/// Estimated performance and traffic of one service, from the view of this instance.
struct ServiceModel
{
  /// Prefill speed of an engine.
  double prefillTokensPerMs = 50.0;
  /// Time to the first event for an empty prompt on an idle server.
  Duration baseTimeToFirstEvent = Millis(15);
  /// Time to the first event besides queueing and prefill, learned where servers state their work
  /// factors. It does not depend on the work factor.
  Duration firstEventDelay = Millis(15);
  /// Mean time to the response, which is the first event, for services without an engine.
  Duration meanResponseTime = Millis(15);
  /// Share of a failure domain's servers that serve short prompts.
  double shortServerShare = 0.4;
  /// Mean prompt tokens of other instances' long prompts that wait for prefill at a server.
  double otherInstancesPrefillTokens = 0.0;
  /// Smoothed time from grant to end of finished requests.
  double meanSlotOccupancyMs = 0.0;
  /// Mean short streams of all instances on each server for short prompts.
  double streamsPerShortServer = 0.0;
  /// Share of the requests on its servers that are streams with short prompts.
  double shortStreamShare = 0.0;
  /// Of all streams.
  EventIntervals intervals;
  /// Mean gaps between events of finished streams with short and with long prompts.
  double gapsPerShortStream = 0.0;
  double gapsPerLongStream = 0.0;
  /// Smallest target for the gaps between events of streams with short prompts; zero if none is
  /// known.
  Duration shortEventGapTarget{};
};

struct Choice
{
  ServerState* server = nullptr;
  /// Predicted time to the first event.
  Duration estimate{};
  /// Prompt tokens that the server has to prefill.
  std::uint32_t prefillTokens = 0;
};

struct PlacementInput
{
  const Job* job = nullptr;
  const ServiceModel* model = nullptr;
  const PlacementCosts* costs = nullptr;
  const std::vector<ServerState*>* servers = nullptr;
  FailureDomainId ownDomain;
  /// Whether any of the servers is in ownDomain.
  bool hasServerInOwnDomain = true;
  /// Failure domains whose servers fail together.
  std::vector<FailureDomainId> suspectDomains{};
  bool hasEngine = false;
  TimePoint now{};
  /// Requests per second that this instance may send to one cold server.
  std::size_t coldRateLimit = 1;
  /// Instances that share the limits that servers state.
  std::size_t instances = 1;
  /// Whether a server of the service states the version of its software.
  bool versionsAreStated = false;
  VersionGate gate{};
  /// The job goes to the version on trial; see VersionGate.
  bool prefersTarget = false;
  /// ServerState::others holds the load of the other instances.
  bool knowsOthersLoads = false;
  /// Servers of the service state their work factors: they are of unequal speed, or share their
  /// machines.
  bool isUneven = false;
  /// Differs for each decision; spreads simultaneous decisions of different instances.
  std::uint64_t salt = 0;
};

/// Whether a prompt is long enough to delay other streams on the same engine.
bool
isLongPrompt(const Job& aJob);

/// Whether the server's software has the version that the job needs. An entry without a version
/// says nothing where others state theirs: its server may have any.
bool
hasVersionFor(const Job& aJob, const ServerState& aServer, bool aVersionsAreStated);

/// Whether the server's software has a version that the job may go to, also while a version is on
/// trial.
bool
admitsVersion(const PlacementInput& aInput, const ServerState& aServer);

/// Prompt tokens that the server would have to prefill: by what it has reported to hold if that is
/// known at aNow, else by what was sent to it.
std::uint32_t
countUncachedTokens(const Job& aJob, const ServerState& aServer, TimePoint aNow);

/// Predicted time to the first event when the server has to prefill aPrefillTokens.
/// aIncludesOtherInstances: adds the long prompts of other instances that may wait on the server,
/// where their load is not known. choosePredicted() sets it for a long prompt on a server for long
/// prompts, and for a short prompt on a server outside its group.
Duration
predictTimeToFirstEvent(const PlacementInput& aInput,
                        const ServerState& aServer,
                        std::uint32_t aPrefillTokens,
                        bool aIncludesOtherInstances);

/// Chooses the server with the least cost among those that can accept the request; nothing if there
/// is none.
///
/// Load pattern: bursts of long prompts with shared parts, next to short streams with tight limits
/// on event gaps. Each shared part has preferred servers, chosen by rendezvous hashing so that all
/// instances agree without communication. Short streams take servers from one end of an order that
/// is equal on all instances, long prompts from the other.
std::optional<Choice>
choosePredicted(const PlacementInput& aInput);

/// The same for a service whose servers state their work factors.
///
/// Load pattern: bursts of long prompts of very uneven length next to short streams, on servers of
/// which some have twice the speed of others. A request goes where it is predicted to begin first;
/// the tokens that a server has cached are weighed against the wait there. Short streams go where
/// the prefill of other prompts does not stretch their gaps beyond the target, and long prompts
/// keep away from streams that they would delay. Instances decide at the same time on the same
/// figures, so that similar choices are spread at random.
std::optional<Choice>
chooseOnUnevenServers(const PlacementInput& aInput);

/// Policies for comparison.
std::optional<Choice>
chooseLessLoadedOfTwo(const PlacementInput& aInput, std::minstd_rand& aRandom);
std::optional<Choice>
chooseLeastLoad(const PlacementInput& aInput);

}
