#include "calls.hpp"

#include "field_checks.hpp"

#include "mustardplank/base/log_event.hpp"
#include "mustardplank/operator/problems.hpp"

#include <algorithm>
#include <chrono>
#include <future>
#include <utility>

namespace mustardplank::operators {

namespace {

/// How often a waiting call looks whether it was cancelled.
constexpr Millis kPollInterval(50);
/// gRPC sends the message as a header, for which clients allow 8 KiB by default.
constexpr std::size_t kMaxMessage = 4000;

using grpc::Status;
using grpc::StatusCode;

Status
failure(StatusCode aCode, const std::string& aMessage)
{
  return { aCode, aMessage.substr(0, kMaxMessage) };
}

Status
conflict(const ChangeCall& aCall,
         const std::optional<config::Revision>& aExpected,
         const ChangeReply& aReply)
{
  const auto object = aCall.kind + " \"" + aCall.id + "\"";
  std::string text;
  if (aExpected && *aExpected == 0) {
    text = object + " exists already, with revision " + std::to_string(aReply.revision) +
           "; choose another id, or change it with its revision as the expected one";
  } else {
    text = object + " has revision " + std::to_string(aReply.revision);
    if (aExpected) {
      text += ", not the expected " + std::to_string(*aExpected);
    }
    text += ": somebody else changed it; list it, and repeat the change if it is still wanted";
  }
  return failure(StatusCode::ABORTED,
                 aReply.message.empty() ? text : text + " (" + aReply.message + ")");
}

Status
toStatus(const ChangeCall& aCall,
         const std::optional<config::Revision>& aExpected,
         const ChangeReply& aReply)
{
  if (aReply.unavailable) {
    std::string text = "the log cannot be reached, so the change was not made or that is not "
                       "known; repeat it with the same operation id \"" +
                       aCall.mutation->operation_id() + "\" until it is answered";
    if (!aReply.message.empty()) {
      text += " (" + aReply.message + ")";
    }
    return failure(StatusCode::UNAVAILABLE, text);
  }
  const bool repeated = aReply.outcome == config::ChangeOutcome::Duplicate;
  switch (repeated ? aReply.first : aReply.outcome) {
    case config::ChangeOutcome::Accepted:
    case config::ChangeOutcome::Duplicate:
      return Status::OK;
    case config::ChangeOutcome::Conflict:
      return conflict(aCall, aExpected, aReply);
    case config::ChangeOutcome::Invalid:
      return failure(StatusCode::FAILED_PRECONDITION,
                     aCall.kind + " \"" + aCall.id + "\": " + aReply.message);
  }
  return failure(StatusCode::INTERNAL, "unknown outcome of a change");
}

void
logChange(const ChangeCall& aCall, const ChangeReply& aReply)
{
  LogEvent event(LogLevel::Info, "operator.change");
  event.field("actor", aCall.actor)
    .field("operation", aCall.mutation->operation_id())
    .field("kind", aCall.kind)
    .field("id", aCall.id)
    .field("outcome", config::kChangeOutcomeNames.name(aReply.outcome))
    .field("revision", aReply.revision)
    .field("in_log", aReply.inLog ? 1 : 0)
    .field("unavailable", aReply.unavailable ? 1 : 0);
  event.write();
}

}

Status
invalidArgument(const Findings& aFindings)
{
  std::string text = aFindings.text();
  if (!text.empty() && text.back() == '\n') {
    text.pop_back();
  }
  return failure(StatusCode::INVALID_ARGUMENT, text);
}

Calls::Calls(const OperatorServerOptions& aOptions, OperatorServer::Sink aSink)
  : mOptions(aOptions)
  , mAuthenticator(aOptions.tokens)
  , mSink(std::move(aSink))
{
}

Status
Calls::run(const grpc::ServerContext& aContext,
           const std::function<Status(const std::string&)>& aBody) const
{
  const auto& metadata = aContext.client_metadata();
  std::string_view authorization;
  // With two values it would not be clear which one counts.
  if (metadata.count("authorization") == 1) {
    const auto value = metadata.find("authorization")->second;
    authorization = { value.data(), value.size() };
  }
  std::string error;
  const auto actor = mAuthenticator.check(authorization, error);
  if (!actor) {
    LogEvent(LogLevel::Warning, "operator.refused").field("peer", aContext.peer()).write();
    return failure(StatusCode::UNAUTHENTICATED, error);
  }
  try {
    return aBody(*actor);
  } catch (const std::exception& exception) {
    LogEvent(LogLevel::Error, "operator.call_failed").field("error", exception.what()).write();
    return failure(StatusCode::INTERNAL, "internal error, see the instance's log");
  }
}

bool
Calls::isEnding(const grpc::ServerContext& aContext) const
{
  return mStopping || aContext.IsCancelled();
}

bool
Calls::push(Request aRequest)
{
  const std::lock_guard lock(mSinkMutex);
  return mSink(std::move(aRequest));
}

template<typename RequestType, typename Reply>
Status
Calls::ask(const grpc::ServerContext& aContext, RequestType aRequest, Reply& aReply)
{
  std::future<Reply> future;
  {
    // Only the request holds the promise, so that a dropped request breaks it.
    auto promise = std::make_shared<std::promise<Reply>>();
    future = promise->get_future();
    aRequest.reply = [promise](Reply aValue) { promise->set_value(std::move(aValue)); };
  }
  if (!push(std::move(aRequest))) {
    return failure(StatusCode::RESOURCE_EXHAUSTED,
                   "the instance is busy and has not started the call; repeat it in a second");
  }
  const auto timeout = std::chrono::steady_clock::now() + mOptions.replyTimeout;
  while (future.wait_for(kPollInterval) != std::future_status::ready) {
    if (isEnding(aContext)) {
      return failure(StatusCode::UNAVAILABLE,
                     "the instance is stopping, so the outcome is not known; repeat the call with "
                     "the same operation id on another instance");
    }
    if (std::chrono::steady_clock::now() > timeout) {
      return failure(
        StatusCode::DEADLINE_EXCEEDED,
        "no answer in time, so the outcome is not known; repeat the call with the same "
        "operation id");
    }
  }
  try {
    aReply = future.get();
  } catch (const std::future_error&) {
    return failure(StatusCode::UNAVAILABLE,
                   "the instance dropped the call, so the outcome is not known; repeat the call "
                   "with the same operation id");
  }
  return Status::OK;
}

Status
Calls::state(const grpc::ServerContext& aContext, std::shared_ptr<const config::State>& aState)
{
  const auto status = ask(aContext, StateRequest{}, aState);
  if (status.ok() && aState == nullptr) {
    return failure(StatusCode::UNAVAILABLE,
                   "the instance has no configuration yet; repeat in a few seconds");
  }
  return status;
}

Status
Calls::status(const grpc::ServerContext& aContext, StatusReport& aReport)
{
  auto status = ask(aContext, StatusRequest{}, aReport);
  if (!status.ok()) {
    return status;
  }
  std::shared_ptr<const config::State> config;
  status = state(aContext, config);
  if (status.ok()) {
    aReport.newestChange = newestChange(*config);
    aReport.problems = findProblems(aReport, *config);
  }
  return status;
}

Status
Calls::change(const grpc::ServerContext& aContext,
              ChangeCall aCall,
              Findings& aFindings,
              v1::ChangeResult& aResult)
{
  FieldChecks checks("mutation", aFindings);
  ChangeRequest request;
  auto& record = request.record;
  record.operation = checks.id<OperationId>("operation_id", aCall.mutation->operation_id());
  if (!aFindings.empty()) {
    return invalidArgument(aFindings);
  }
  record.actor = aCall.actor;
  record.expected = aCall.defaultExpected;
  if (aCall.mutation->has_expected_revision()) {
    record.expected = aCall.mutation->expected_revision();
  }
  const auto expected = record.expected;
  record.change = std::move(aCall.change);
  ChangeReply reply;
  const auto asked = ask(aContext, std::move(request), reply);
  if (!asked.ok()) {
    return asked;
  }
  logChange(aCall, reply);
  aResult.set_revision(reply.revision);
  aResult.set_repeated(reply.outcome == config::ChangeOutcome::Duplicate);
  aResult.set_in_log(reply.inLog);
  aResult.set_message(reply.message);
  return toStatus(aCall, expected, reply);
}

}
