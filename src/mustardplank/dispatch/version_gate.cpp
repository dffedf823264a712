#include "mustardplank/dispatch/version_gate.hpp"

#include "mustardplank/dispatch/job.hpp"

namespace mustardplank::dispatch {

namespace {

VersionUse
useInForce(const VersionRule& aRule,
           TimePoint aNow,
           bool aIsStopped,
           bool aHasOthers,
           bool aHasTarget)
{
  if (!aHasTarget) {
    return VersionUse::OthersOnly;
  }
  if (!aHasOthers && aRule.targetMayServeAlone) {
    return VersionUse::TargetOnly;
  }
  if (aNow >= aRule.validUntil || (aIsStopped && aRule.use == VersionUse::Sampled)) {
    return VersionUse::OthersOnly;
  }
  return aRule.use;
}

}

VersionGate::VersionGate(const VersionRule* aRule,
                         TimePoint aNow,
                         bool aIsStopped,
                         bool aHasOthers,
                         bool aHasTarget)
  : mRule(aRule)
  , mUse(aRule ? useInForce(*aRule, aNow, aIsStopped, aHasOthers, aHasTarget)
               : VersionUse::OthersOnly)
{
}

double
VersionGate::targetShare() const
{
  if (!mRule || mUse == VersionUse::OthersOnly) {
    return 0.0;
  }
  return mUse == VersionUse::TargetOnly ? 1.0 : mRule->share;
}

bool
VersionGate::admits(const Job& aJob, const std::string& aVersion, bool aPrefersTarget) const
{
  if (!mRule || aJob.softwareVersion) {
    return true;
  }
  if (aVersion == mRule->target) {
    return mUse == VersionUse::TargetOnly || (mUse == VersionUse::Sampled && aPrefersTarget);
  }
  return mUse != VersionUse::TargetOnly && !aPrefersTarget && !mRule->rejected.contains(aVersion);
}

}
