#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/pool/messages.hpp"

#include <unordered_map>

namespace mustardplank::pool {

/// Learns, from finished attempts, how long requests run and how many tokens they put out, for
/// each class and organisation.
class Estimator
{
public:
  void learn(int aClass, int aOrganisation, const RequestInfo& aRequest, const SlotRelease& aEnd);

  /// Output tokens still to come.
  double outputTokens(int aClass, int aOrganisation, const RequestInfo& aRequest) const;
  /// Time for which the request will hold a slot.
  Duration slotTime(int aClass, int aOrganisation, const RequestInfo& aRequest) const;
  /// From the start of the stream, on a server that is not overloaded.
  Duration firstToken(const RequestInfo& aRequest) const;
  /// Of all classes.
  Duration meanSlotTime() const;
  double perTokenSeconds() const { return mPerToken.value; }
  /// For each prompt token.
  double prefillSeconds() const { return mPrefill.slope(); }

private:
  /// Moving average that starts at the first sample.
  struct Average
  {
    double value = 0.0;
    double samples = 0.0;
    void add(double aSample);
  };
  struct Work
  {
    Average tokens;
    Average seconds;
  };
  const Work* find(int aClass, int aOrganisation) const;

  std::unordered_map<std::int64_t, Work> mWork;
  Work mAll;
  /// Time to first token as a line over the prompt's length, fitted to moving averages.
  struct Line
  {
    Average x, y, xx, xy;
    void add(double aX, double aY);
    double slope() const;
    double at(double aX) const;
  };

  /// Seconds for each output token.
  Average mPerToken{ 0.005, 0.0 };
  Line mPrefill;
};

}
