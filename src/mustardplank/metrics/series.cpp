#include "series.hpp"

namespace mustardplank::metrics {

namespace {

// The targets lie on bucket boundaries, so that attainment can be read off: 0.79 s to the first
// token, 27 ms between tokens.
const prometheus::Histogram::BucketBoundaries kRequestBuckets{ 0.05, 0.1, 0.25, 0.5, 1,  2.5,
                                                               5,    10,  20,   40,  80, 160 };
const prometheus::Histogram::BucketBoundaries kFirstTokenBuckets{ 0.01, 0.025, 0.05, 0.1, 0.2, 0.4,
                                                                  0.79, 1.5,   3,    6,   12,  30 };
const prometheus::Histogram::BucketBoundaries kTokenGapBuckets{ 0.002, 0.005, 0.01, 0.015,
                                                                0.02,  0.027, 0.04, 0.06,
                                                                0.1,   0.25,  1,    5 };

prometheus::Family<prometheus::Histogram>&
histogram(prometheus::Registry& aRegistry, const std::string& aName, const std::string& aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Family<prometheus::Counter>&
counter(prometheus::Registry& aRegistry, const std::string& aName, const std::string& aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

std::string
name(const std::string& aLabel, const std::string& aRest)
{
  return "mustardplank_" + aLabel + "_" + aRest;
}

}

SeriesFamily::SeriesFamily(prometheus::Registry& aRegistry, const std::string& aLabel)
  : mLabel(aLabel)
  , mRequestSeconds(histogram(aRegistry,
                              name(aLabel, "request_seconds"),
                              "Time from the request's last byte to the answer's last byte."))
  , mFirstTokenSeconds(histogram(aRegistry,
                                 name(aLabel, "first_token_seconds"),
                                 "Time from the request's last byte to the first token."))
  , mTokenGapSeconds(histogram(aRegistry,
                               name(aLabel, "token_gap_seconds"),
                               "Time between two tokens of one answer."))
  , mRequests(counter(aRegistry, name(aLabel, "requests_total"), "Requests accepted."))
  , mTokens(counter(aRegistry, name(aLabel, "tokens_total"), "Tokens by kind."))
  , mRetries(counter(aRegistry, name(aLabel, "retries_total"), "Attempts after the first one."))
  , mPreemptions(
      counter(aRegistry, name(aLabel, "preemptions_total"), "Streams stopped for a higher tier."))
  , mRefusals(counter(aRegistry, name(aLabel, "refusals_total"), "Requests refused or failed."))
{
}

Series
SeriesFamily::make(const std::string& aLabelValue)
{
  const prometheus::Labels labels{ { mLabel, aLabelValue } };
  Series series;
  series.requestSeconds = &mRequestSeconds.Add(labels, kRequestBuckets);
  series.firstTokenSeconds = &mFirstTokenSeconds.Add(labels, kFirstTokenBuckets);
  series.tokenGapSeconds = &mTokenGapSeconds.Add(labels, kTokenGapBuckets);
  series.requests = &mRequests.Add(labels);
  series.promptTokens = &mTokens.Add({ { mLabel, aLabelValue }, { "kind", "prompt" } });
  series.completionTokens = &mTokens.Add({ { mLabel, aLabelValue }, { "kind", "completion" } });
  series.retries = &mRetries.Add(labels);
  series.preemptions = &mPreemptions.Add(labels);
  series.refusals = &mRefusals.Add(labels);
  return series;
}

Series
makeRefusalsByCode(prometheus::Registry& aRegistry)
{
  auto& family =
    counter(aRegistry, "mustardplank_refusals_total", "Requests refused or failed, by code.");
  Series series;
  series.refusalsByCode.resize(kErrorCodeNames.entries.size());
  for (const auto& [code, text] : kErrorCodeNames.entries) {
    series.refusalsByCode[static_cast<std::size_t>(code)] =
      &family.Add({ { "code", std::string(text) } });
  }
  return series;
}

}
