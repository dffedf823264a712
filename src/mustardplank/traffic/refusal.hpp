#pragma once

#include "mustardplank/base/error.hpp"
#include "mustardplank/base/time.hpp"

#include <string>
#include <string_view>

namespace mustardplank::traffic {

/// Why a request is not answered, as its caller is told.
struct Refusal
{
  ErrorCode code = ErrorCode::Internal;
  std::string message;
  RunState runState = RunState::NotRun;
  /// Zero means that the answer has no Retry-After.
  Duration retryAfter{};
};

unsigned
httpStatus(ErrorCode aCode);

/// A message for refusals that are decided elsewhere and bring a code only.
std::string_view
defaultMessage(ErrorCode aCode);

/// A refusal of a request that was sent to no backend server, with the default message.
Refusal
notRun(ErrorCode aCode, Duration aRetryAfter = {});

Refusal
notRun(ErrorCode aCode, std::string aMessage, Duration aRetryAfter = {});

/// {"error":{"code":...,"message":...,"run_state":...,"request_id":...}}
std::string
refusalBody(const Refusal& aRefusal, std::string_view aRequestId);

/// aText as a JSON string, quotes included.
std::string
jsonString(std::string_view aText);

}
