#pragma once

#include "log_appender.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/config/store.hpp"
#include "mustardplank/operator/events.hpp"

#include <list>

namespace mustardplank::daemon {

/// Operators' changes on their way into the log. A change is answered when it is read back from the
/// log. Appending it again after a lost answer is safe, as an operation takes effect once.
class OperatorChanges
{
public:
  OperatorChanges(config::Store& aStore, LogAppender& aAppender);

  void add(operators::ChangeRequest aRequest, TimePoint aNow);
  /// Answers changes that the log holds by now, appends again, and gives up late ones.
  void step(TimePoint aNow);

private:
  struct Pending
  {
    operators::ChangeRequest request;
    bool withdrawal = false;
    /// The operation was in the log when the request came.
    bool repeated = false;
    /// An append waits or is under way.
    bool underWay = false;
    /// The latest append had no effect.
    bool refused = false;
    /// An append may have taken effect.
    bool mayBeInLog = false;
    TimePoint deadline{};
    TimePoint appendAt{};
  };

  void append(Pending& aPending, TimePoint aNow);
  bool answerFromLog(const Pending& aPending) const;
  static void answerUnavailable(const Pending& aPending);

  config::Store& mStore;
  LogAppender& mAppender;
  std::list<Pending> mPending;
};

}
