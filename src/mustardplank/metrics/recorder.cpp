#include "mustardplank/metrics/metrics.hpp"

#include "series.hpp"

namespace mustardplank::metrics {

namespace {

double
toSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

}

RequestRecorder::RequestRecorder(Series& aClass, Series& aOrganisation, Series& aAll)
  : mClass(&aClass)
  , mOrganisation(&aOrganisation)
  , mAll(&aAll)
{
}

void
RequestRecorder::request() const
{
  mClass->requests->Increment();
  mOrganisation->requests->Increment();
}

void
RequestRecorder::requestTime(Duration aTime) const
{
  mClass->requestSeconds->Observe(toSeconds(aTime));
  mOrganisation->requestSeconds->Observe(toSeconds(aTime));
}

void
RequestRecorder::firstToken(Duration aTime) const
{
  mClass->firstTokenSeconds->Observe(toSeconds(aTime));
  mOrganisation->firstTokenSeconds->Observe(toSeconds(aTime));
}

void
RequestRecorder::tokenGap(Duration aTime) const
{
  mClass->tokenGapSeconds->Observe(toSeconds(aTime));
  mOrganisation->tokenGapSeconds->Observe(toSeconds(aTime));
}

void
RequestRecorder::tokens(std::uint64_t aPrompt, std::uint64_t aCompletion) const
{
  for (const auto* series : { mClass, mOrganisation }) {
    series->promptTokens->Increment(static_cast<double>(aPrompt));
    series->completionTokens->Increment(static_cast<double>(aCompletion));
  }
}

void
RequestRecorder::retry() const
{
  mClass->retries->Increment();
  mOrganisation->retries->Increment();
}

void
RequestRecorder::preemption() const
{
  mClass->preemptions->Increment();
  mOrganisation->preemptions->Increment();
}

void
RequestRecorder::refusal(ErrorCode aCode) const
{
  mClass->refusals->Increment();
  mOrganisation->refusals->Increment();
  mAll->refusalsByCode[static_cast<std::size_t>(aCode)]->Increment();
}

}
