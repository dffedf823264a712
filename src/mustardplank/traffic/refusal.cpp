#include "refusal.hpp"

#include <nlohmann/json.hpp>

namespace mustardplank::traffic {

unsigned
httpStatus(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidRequest:
    case ErrorCode::InvalidJson:
    case ErrorCode::UnknownClass:
      return 400;
    case ErrorCode::MissingKey:
    case ErrorCode::UnknownKey:
    case ErrorCode::KeyWithdrawn:
      return 401;
    case ErrorCode::ClassNotAllowed:
      return 403;
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownService:
    case ErrorCode::NotFound:
      return 404;
    case ErrorCode::MethodNotAllowed:
      return 405;
    case ErrorCode::Timeout:
      return 408;
    case ErrorCode::IdempotencyConflict:
      return 409;
    case ErrorCode::BodyTooLarge:
      return 413;
    // Not a 5xx: clients repeat those by themselves, and this request crashes servers.
    case ErrorCode::CrashSuspect:
      return 422;
    case ErrorCode::RateLimited:
      return 429;
    case ErrorCode::HeaderTooLarge:
      return 431;
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::BackendFailed:
      return 502;
    case ErrorCode::Overloaded:
    case ErrorCode::DeadlineUnreachable:
    case ErrorCode::NoBackendServer:
    case ErrorCode::LogUnavailable:
    case ErrorCode::Draining:
    case ErrorCode::Isolated:
      return 503;
    case ErrorCode::Internal:
      return 500;
  }
  return 500;
}

std::string_view
defaultMessage(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::RateLimited:
      return "the organisation's limit on requests is reached";
    case ErrorCode::Overloaded:
      return "the backend servers have no room for this class at the moment";
    case ErrorCode::DeadlineUnreachable:
      return "the first token could not come in time for this class";
    case ErrorCode::NoBackendServer:
      return "no backend server serves this request at the moment";
    case ErrorCode::CrashSuspect:
      return "backend servers crashed while running this request; it is refused for 10 minutes";
    case ErrorCode::IdempotencyConflict:
      return "the idempotency key was used before with another request";
    case ErrorCode::OutcomeUnknown:
      return "an earlier attempt with this idempotency key may have run; its outcome is not known";
    case ErrorCode::LogUnavailable:
      return "the log that keeps idempotency keys cannot be reached; nothing was run";
    case ErrorCode::BackendFailed:
      return "the backend servers failed to answer this request";
    case ErrorCode::Draining:
      return "this instance is shutting down; connect again to reach another one";
    case ErrorCode::Isolated:
      return "this failure domain is cut off and the organisation asked to be refused meanwhile";
    case ErrorCode::KeyWithdrawn:
      return "the caller key was withdrawn";
    case ErrorCode::Timeout:
      return "the request waited too long";
    default:
      return "the request could not be answered";
  }
}

Refusal
notRun(ErrorCode aCode, Duration aRetryAfter)
{
  return notRun(aCode, std::string(defaultMessage(aCode)), aRetryAfter);
}

Refusal
notRun(ErrorCode aCode, std::string aMessage, Duration aRetryAfter)
{
  return { aCode, std::move(aMessage), RunState::NotRun, aRetryAfter };
}

std::string
refusalBody(const Refusal& aRefusal, std::string_view aRequestId)
{
  const nlohmann::json body = { { "error",
                                  { { "code", kErrorCodeNames.name(aRefusal.code) },
                                    { "message", aRefusal.message },
                                    { "run_state", kRunStateNames.name(aRefusal.runState) },
                                    { "request_id", aRequestId } } } };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
jsonString(std::string_view aText)
{
  return nlohmann::json(aText).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
