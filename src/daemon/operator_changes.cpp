#include "operator_changes.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace mustardplank::daemon {

namespace {

/// "In force within seconds" is 5 s, of which an operator's call may use this much to reach the
/// log.
constexpr Duration kDeadline = Seconds(4);
/// A withdrawal is in force as a tombstone already; its caller waits only to learn whether it is in
/// the log too.
constexpr Duration kWithdrawalDeadline = Seconds(2);
constexpr Duration kAppendAgain = Millis(500);

std::string
recordOf(const config::ChangeRecord& aRecord, bool aWithdrawal)
{
  return (aWithdrawal ? config::encodeTombstone(aRecord) : config::encodeChange(aRecord)).dump();
}

}

OperatorChanges::OperatorChanges(config::Store& aStore, LogAppender& aAppender)
  : mStore(aStore)
  , mAppender(aAppender)
{
}

void
OperatorChanges::add(operators::ChangeRequest aRequest, TimePoint aNow)
{
  Pending pending;
  pending.withdrawal = config::isWithdrawal(aRequest.record.change);
  pending.deadline = aNow + (pending.withdrawal ? kWithdrawalDeadline : kDeadline);
  pending.request = std::move(aRequest);
  pending.repeated = mStore.find(pending.request.record.operation).has_value();
  if (answerFromLog(pending)) {
    return;
  }
  mPending.push_back(std::move(pending));
  append(mPending.back(), aNow);
}

void
OperatorChanges::append(Pending& aPending, TimePoint aNow)
{
  aPending.appendAt = aNow + kAppendAgain;
  aPending.underWay = true;
  const auto operation = aPending.request.record.operation;
  mAppender.add(recordOf(aPending.request.record, aPending.withdrawal),
                [this, operation](const platform::Result<platform::Appended>& aResult) {
                  const auto* failure = std::get_if<platform::Failure>(&aResult);
                  for (auto& it : mPending) {
                    if (it.request.record.operation == operation) {
                      it.underWay = false;
                      it.refused = failure && failure->kind == platform::FailureKind::NoEffect;
                      it.mayBeInLog = it.mayBeInLog || !it.refused;
                    }
                  }
                });
}

bool
OperatorChanges::answerFromLog(const Pending& aPending) const
{
  const auto result = mStore.find(aPending.request.record.operation);
  if (!result) {
    return false;
  }
  operators::ChangeReply reply;
  reply.outcome = aPending.repeated ? config::ChangeOutcome::Duplicate : result->first;
  reply.first = result->first;
  reply.revision = result->revision;
  reply.message = result->message;
  aPending.request.reply(std::move(reply));
  return true;
}

void
OperatorChanges::answerUnavailable(const Pending& aPending)
{
  operators::ChangeReply reply;
  reply.inLog = false;
  reply.unavailable = !aPending.withdrawal;
  if (aPending.withdrawal) {
    reply.message = "in force on all instances that can be reached; it is written to the log when "
                    "the log returns";
  } else if (aPending.mayBeInLog || aPending.underWay) {
    reply.message = "the log did not confirm the change in time; it may still take effect";
  } else {
    reply.message = "the log cannot be reached; nothing was changed";
  }
  aPending.request.reply(std::move(reply));
}

void
OperatorChanges::step(TimePoint aNow)
{
  for (auto it = mPending.begin(); it != mPending.end();) {
    const bool hopeless = it->refused && !it->mayBeInLog && !it->withdrawal;
    if (answerFromLog(*it)) {
      it = mPending.erase(it);
    } else if (aNow >= it->deadline || hopeless) {
      answerUnavailable(*it);
      it = mPending.erase(it);
    } else {
      if (!it->underWay && aNow >= it->appendAt) {
        append(*it, aNow);
      }
      ++it;
    }
  }
}

}
