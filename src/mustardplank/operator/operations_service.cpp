#include "operations_service.hpp"

#include "to_proto.hpp"
#include "watch_diff.hpp"

#include <algorithm>
#include <thread>

namespace mustardplank::operators {

using grpc::ServerContext;
using grpc::StatusCode;

namespace {

/// How often a watch looks whether it was cancelled.
constexpr Millis kPollInterval(50);

class CountGuard
{
public:
  explicit CountGuard(std::atomic<std::size_t>& aCount)
    : mCount(aCount)
    , mValue(++aCount)
  {
  }
  ~CountGuard() { --mCount; }
  CountGuard(const CountGuard&) = delete;
  CountGuard& operator=(const CountGuard&) = delete;
  std::size_t value() const { return mValue; }

private:
  std::atomic<std::size_t>& mCount;
  std::size_t mValue;
};

/// Tells the client that the watch runs, and from which revision on.
std::vector<v1::WatchEvent>
firstEvent(const StatusReport& aReport, const config::State& aState)
{
  v1::WatchEvent event;
  event.set_state_revision(aState.revision());
  event.set_text("instance " + aReport.instance.str() + " reports changes after revision " +
                 std::to_string(aState.revision()));
  return { event };
}

}

OperationsService::OperationsService(Calls& aCalls)
  : mCalls(aCalls)
{
}

grpc::Status
OperationsService::Status(ServerContext* aContext,
                          const v1::StatusRequest*,
                          v1::StatusReport* aResult)
{
  return mCalls.run(*aContext, [&](const std::string&) {
    StatusReport report;
    const auto status = mCalls.status(*aContext, report);
    if (status.ok()) {
      toProto(report, *aResult);
    }
    return status;
  });
}

grpc::Status
OperationsService::Watch(ServerContext* aContext,
                         const v1::WatchRequest*,
                         grpc::ServerWriter<v1::WatchEvent>* aWriter)
{
  return mCalls.run(*aContext, [&](const std::string&) {
    const CountGuard guard(mWatches);
    if (guard.value() > mCalls.maxWatches()) {
      return grpc::Status(
        StatusCode::RESOURCE_EXHAUSTED,
        "as many watches as allowed run on this instance; end one, or use another "
        "instance");
    }
    return watch(*aContext, *aWriter);
  });
}

grpc::Status
OperationsService::watch(ServerContext& aContext, grpc::ServerWriter<v1::WatchEvent>& aWriter)
{
  std::shared_ptr<const config::State> before;
  std::vector<Problem> problemsBefore;
  while (!mCalls.isEnding(aContext)) {
    StatusReport report;
    std::shared_ptr<const config::State> now;
    auto status = mCalls.status(aContext, report);
    if (status.ok()) {
      status = mCalls.state(aContext, now);
    }
    // A busy instance does not end the watch; the next round sees the changes of this one.
    const bool skip = status.error_code() == StatusCode::RESOURCE_EXHAUSTED ||
                      status.error_code() == StatusCode::DEADLINE_EXCEEDED;
    if (!status.ok() && !skip) {
      return status;
    }
    if (status.ok()) {
      auto events = before ? diffStates(*before, *now) : firstEvent(report, *now);
      for (auto& it : diffProblems(problemsBefore, report.problems)) {
        it.set_state_revision(now->revision());
        events.push_back(std::move(it));
      }
      for (const auto& it : events) {
        if (!aWriter.Write(it)) {
          return grpc::Status::OK;
        }
      }
      before = now;
      problemsBefore = std::move(report.problems);
    }
    waitInterval(aContext);
  }
  return { StatusCode::UNAVAILABLE, "the instance is stopping; watch another one" };
}

void
OperationsService::waitInterval(const ServerContext& aContext) const
{
  auto left = mCalls.watchInterval();
  while (left > Duration::zero() && !mCalls.isEnding(aContext)) {
    const auto step = std::min<Duration>(left, kPollInterval);
    std::this_thread::sleep_for(step);
    left -= step;
  }
}

}
