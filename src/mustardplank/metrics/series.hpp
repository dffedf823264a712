#pragma once

#include "mustardplank/base/error.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

namespace mustardplank::metrics {

/// The series of one label value, for example of class="chat".
struct Series
{
  prometheus::Histogram* requestSeconds = nullptr;
  prometheus::Histogram* firstTokenSeconds = nullptr;
  prometheus::Histogram* tokenGapSeconds = nullptr;
  prometheus::Counter* requests = nullptr;
  prometheus::Counter* promptTokens = nullptr;
  prometheus::Counter* completionTokens = nullptr;
  prometheus::Counter* retries = nullptr;
  prometheus::Counter* preemptions = nullptr;
  prometheus::Counter* refusals = nullptr;
  /// By ErrorCode; only in the series of all requests.
  std::vector<prometheus::Counter*> refusalsByCode;
};

/// Creates series that share one label name; their names start with "mustardplank_<label>_".
class SeriesFamily
{
public:
  SeriesFamily(prometheus::Registry& aRegistry, const std::string& aLabel);

  Series make(const std::string& aLabelValue);

private:
  std::string mLabel;
  prometheus::Family<prometheus::Histogram>& mRequestSeconds;
  prometheus::Family<prometheus::Histogram>& mFirstTokenSeconds;
  prometheus::Family<prometheus::Histogram>& mTokenGapSeconds;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Counter>& mTokens;
  prometheus::Family<prometheus::Counter>& mRetries;
  prometheus::Family<prometheus::Counter>& mPreemptions;
  prometheus::Family<prometheus::Counter>& mRefusals;
};

/// Series "mustardplank_refusals_total{code}" for all requests.
Series
makeRefusalsByCode(prometheus::Registry& aRegistry);

}
