#include "mustardplank/metrics/metrics.hpp"

#include "series.hpp"

#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace mustardplank::metrics {

namespace {

using PrometheusGauge = prometheus::Gauge;

std::string
fullName(std::string_view aPrefix, std::string_view aName, std::string_view aSuffix = "")
{
  return std::string(aPrefix) + std::string(aName) + std::string(aSuffix);
}

/// The series of each value of one label, with a bound on their number.
class SeriesTable
{
public:
  SeriesTable(prometheus::Registry& aRegistry, const std::string& aLabel, std::size_t aLimit)
    : mFamily(aRegistry, aLabel)
    , mLimit(aLimit)
    , mOther(mFamily.make("other"))
    , mNone(mFamily.make("none"))
  {
  }

  Series& get(const std::string& aName)
  {
    if (aName.empty() || aName == "none") {
      return mNone;
    }
    if (aName == "other") {
      return mOther;
    }
    {
      const std::shared_lock lock(mMutex);
      const auto it = mSeries.find(aName);
      if (it != mSeries.end()) {
        return it->second;
      }
      if (mSeries.size() >= mLimit) {
        return mOther;
      }
    }
    return add(aName);
  }

private:
  Series& add(const std::string& aName)
  {
    const std::unique_lock lock(mMutex);
    const auto it = mSeries.find(aName);
    if (it != mSeries.end()) {
      return it->second;
    }
    if (mSeries.size() >= mLimit) {
      return mOther;
    }
    return mSeries.emplace(aName, mFamily.make(aName)).first->second;
  }

  SeriesFamily mFamily;
  std::size_t mLimit;
  Series mOther;
  Series mNone;
  std::shared_mutex mMutex;
  /// Elements of a std::map keep their address.
  std::map<std::string, Series> mSeries;
};

/// The gauges of each pool.
class PoolGauges
{
public:
  PoolGauges(prometheus::Registry& aRegistry, std::size_t aLimit)
    : mLimit(aLimit)
  {
    for (const auto& [gauge, name] : kPoolGaugeNames.entries) {
      mFamilies[gauge] = &prometheus::BuildGauge()
                            .Name(fullName("mustardplank_pool_", name))
                            .Help("Value of one pool.")
                            .Register(aRegistry);
    }
  }

  void set(PoolGauge aGauge, const PoolId& aPool, double aValue)
  {
    const std::lock_guard lock(mMutex);
    auto it = mPools.find(aPool);
    if (it == mPools.end()) {
      if (mPools.size() >= mLimit) {
        return;
      }
      it = mPools.emplace(aPool, Gauges{}).first;
    }
    auto& gauge = it->second[aGauge];
    if (gauge == nullptr) {
      gauge = &mFamilies.at(aGauge)->Add({ { "pool", aPool.str() } });
    }
    gauge->Set(aValue);
  }

private:
  using Gauges = std::map<PoolGauge, PrometheusGauge*>;

  std::size_t mLimit;
  std::mutex mMutex;
  std::map<PoolGauge, prometheus::Family<PrometheusGauge>*> mFamilies;
  std::map<PoolId, Gauges> mPools;
};

/// One counter for each reason.
class ReasonCounters
{
public:
  ReasonCounters(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
    : mFamily(prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry))
  {
  }

  void count(std::string_view aReason)
  {
    mFamily.Add({ { "reason", std::string(aReason) } }).Increment();
  }

private:
  prometheus::Family<prometheus::Counter>& mFamily;
};

/// Messages to other instances, and their bytes, by kind.
class ControlCounters
{
public:
  explicit ControlCounters(prometheus::Registry& aRegistry)
  {
    auto& messages = prometheus::BuildCounter()
                       .Name("mustardplank_control_messages_total")
                       .Help("Messages sent to other instances.")
                       .Register(aRegistry);
    auto& bytes = prometheus::BuildCounter()
                    .Name("mustardplank_control_bytes_total")
                    .Help("Bytes of messages sent to other instances, without headers.")
                    .Register(aRegistry);
    for (const auto& [kind, name] : kControlMessageNames.entries) {
      const prometheus::Labels labels{ { "kind", std::string(name) } };
      mMessages[static_cast<std::size_t>(kind)] = &messages.Add(labels);
      mBytes[static_cast<std::size_t>(kind)] = &bytes.Add(labels);
    }
  }

  void count(ControlMessage aKind, std::size_t aBytes)
  {
    mMessages[static_cast<std::size_t>(aKind)]->Increment();
    mBytes[static_cast<std::size_t>(aKind)]->Increment(static_cast<double>(aBytes));
  }

private:
  using Counters = std::array<prometheus::Counter*, kControlMessageNames.entries.size()>;

  Counters mMessages{};
  Counters mBytes{};
};

}

struct Metrics::Impl
{
  explicit Impl(Limits aLimits)
    : classes(registry, "class", aLimits.classes)
    , organisations(registry, "organisation", aLimits.organisations)
    , all(makeRefusalsByCode(registry))
    , pools(registry, aLimits.pools)
    , unanswered(registry,
                 "mustardplank_unanswered_requests_total",
                 "Requests that arrived whole and got no complete answer.")
    , rejectedCallers(registry,
                      "mustardplank_rejected_callers_total",
                      "Requests and connections of callers that were rejected.")
    , control(registry)
  {
    for (const auto& [gauge, name] : kGaugeNames.entries) {
      auto& family = prometheus::BuildGauge()
                       .Name(fullName("mustardplank_", name))
                       .Help("Value of this instance.")
                       .Register(registry);
      gauges[static_cast<std::size_t>(gauge)] = &family.Add({});
    }
    for (const auto& [event, name] : kEventNames.entries) {
      auto& family = prometheus::BuildCounter()
                       .Name(fullName("mustardplank_", name, "_total"))
                       .Help("Events on this instance.")
                       .Register(registry);
      events[static_cast<std::size_t>(event)] = &family.Add({});
    }
  }

  prometheus::Registry registry;
  SeriesTable classes;
  SeriesTable organisations;
  Series all;
  PoolGauges pools;
  ReasonCounters unanswered;
  ReasonCounters rejectedCallers;
  ControlCounters control;
  std::array<PrometheusGauge*, kGaugeNames.entries.size()> gauges{};
  std::array<prometheus::Counter*, kEventNames.entries.size()> events{};
};

Metrics::Metrics(Limits aLimits)
  : mImpl(std::make_unique<Impl>(aLimits))
{
}

Metrics::~Metrics() = default;

RequestRecorder
Metrics::recorder(const ClassId& aClass, const OrganisationId& aOrganisation)
{
  return { mImpl->classes.get(aClass.str()),
           mImpl->organisations.get(aOrganisation.str()),
           mImpl->all };
}

void
Metrics::set(Gauge aGauge, double aValue)
{
  mImpl->gauges[static_cast<std::size_t>(aGauge)]->Set(aValue);
}

void
Metrics::set(PoolGauge aGauge, const PoolId& aPool, double aValue)
{
  mImpl->pools.set(aGauge, aPool, aValue);
}

void
Metrics::count(Event aEvent, std::uint64_t aCount)
{
  mImpl->events[static_cast<std::size_t>(aEvent)]->Increment(static_cast<double>(aCount));
}

void
Metrics::countUnanswered(std::string_view aReason)
{
  mImpl->unanswered.count(aReason);
}

void
Metrics::countRejectedCaller(std::string_view aReason)
{
  mImpl->rejectedCallers.count(aReason);
}

void
Metrics::countControl(ControlMessage aKind, std::size_t aBytes)
{
  mImpl->control.count(aKind, aBytes);
}

std::string
Metrics::scrape() const
{
  return prometheus::TextSerializer().Serialize(mImpl->registry.Collect());
}

}
