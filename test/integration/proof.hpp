#pragma once

#include "support/deployment.hpp"
#include "support/wait.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Names the mechanism (a key of "mechanisms" in the settings) without which the next test fails.
/// Read by CMakeLists.txt.
#define MECHANISM(name)

namespace mustardplank::proof {

using support::askLater;
using support::Chat;
using support::ChatAnswer;
using support::engine;
using support::Load;
using support::Plan;
using support::service;
using support::waitUntil;

/// Fails the test when an instance ended by a crash.
class Deployment : public support::Deployment
{
public:
  using support::Deployment::Deployment;
  ~Deployment();
};

/// "Seconds" in guarantees G5, G9, G13 and G15 (docs/design.md 1.2).
inline constexpr Millis kSeconds{ 5000 };

/// Random numbers from a seed that is printed; MUSTARDPLANK_SEED sets it.
std::mt19937&
random();

/// basicPlan() with the mechanism in MUSTARDPLANK_OFF switched off.
Plan
plan(unsigned aFailureDomains, unsigned aInstancesPerDomain);

config::RequestClass&
classOf(Plan& aPlan, const std::string& aId);

/// A prompt that no other request has, ending in aMark and a number.
std::string
uniquePrompt(const std::string& aMark, unsigned aOutputTokens);

/// The unique end of a prompt, by which ledgers are searched.
std::string
markOf(const std::string& aPrompt);

/// A chat request at one instance.
Chat
chatAt(Deployment& aDeployment,
       const std::string& aInstance,
       const std::string& aClass,
       const std::string& aMark,
       unsigned aOutputTokens = 20);

/// A call of the plain service "permits" with aBody, which ledgers show.
ChatAnswer
callPermits(Deployment& aDeployment,
            const std::string& aInstance,
            const std::string& aBody,
            const std::string& aIdempotencyKey,
            unsigned aDelayMillis = 0,
            Duration aTimeout = Seconds(30));

/// Waits until every instance has the permit service called, so that its state is known.
void
waitForPermits(Deployment& aDeployment);

/// Runs whose prompt contains aMark and that an engine took (was not out of slots for).
std::vector<nlohmann::json>
takenRuns(Deployment& aDeployment, const std::string& aMark);

/// Answers that the caller cannot have got from a right system: wrong text, or an end without
/// error before the whole answer.
std::vector<std::string>
wrongAnswers(const std::vector<ChatAnswer>& aAnswers);

/// Descriptions of the answers that are not whole.
std::vector<std::string>
notWhole(const std::vector<ChatAnswer>& aAnswers);

std::string
joined(const std::vector<std::string>& aLines);

std::int64_t
nowMillis();

void
pause(Duration aDuration);

}
