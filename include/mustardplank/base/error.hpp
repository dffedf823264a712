#pragma once

#include "mustardplank/base/name_table.hpp"

#include <string>

namespace mustardplank {

/// Why a request was refused or failed; the names are the stable codes that callers see.
enum class ErrorCode
{
  InvalidRequest,
  InvalidJson,
  BodyTooLarge,
  HeaderTooLarge,
  Timeout,
  MissingKey,
  UnknownKey,
  KeyWithdrawn,
  UnknownModel,
  UnknownClass,
  ClassNotAllowed,
  UnknownService,
  RateLimited,
  Overloaded,
  DeadlineUnreachable,
  NoBackendServer,
  CrashSuspect,
  IdempotencyConflict,
  OutcomeUnknown,
  LogUnavailable,
  BackendFailed,
  Draining,
  Isolated,
  NotFound,
  MethodNotAllowed,
  Internal,
};

inline constexpr NameTable<ErrorCode, 26> kErrorCodeNames{ { {
  { ErrorCode::InvalidRequest, "invalid_request" },
  { ErrorCode::InvalidJson, "invalid_json" },
  { ErrorCode::BodyTooLarge, "body_too_large" },
  { ErrorCode::HeaderTooLarge, "header_too_large" },
  { ErrorCode::Timeout, "timeout" },
  { ErrorCode::MissingKey, "missing_key" },
  { ErrorCode::UnknownKey, "unknown_key" },
  { ErrorCode::KeyWithdrawn, "key_withdrawn" },
  { ErrorCode::UnknownModel, "unknown_model" },
  { ErrorCode::UnknownClass, "unknown_class" },
  { ErrorCode::ClassNotAllowed, "class_not_allowed" },
  { ErrorCode::UnknownService, "unknown_service" },
  { ErrorCode::RateLimited, "rate_limited" },
  { ErrorCode::Overloaded, "overloaded" },
  { ErrorCode::DeadlineUnreachable, "deadline_unreachable" },
  { ErrorCode::NoBackendServer, "no_backend_server" },
  { ErrorCode::CrashSuspect, "crash_suspect" },
  { ErrorCode::IdempotencyConflict, "idempotency_conflict" },
  { ErrorCode::OutcomeUnknown, "outcome_unknown" },
  { ErrorCode::LogUnavailable, "log_unavailable" },
  { ErrorCode::BackendFailed, "backend_failed" },
  { ErrorCode::Draining, "draining" },
  { ErrorCode::Isolated, "isolated" },
  { ErrorCode::NotFound, "not_found" },
  { ErrorCode::MethodNotAllowed, "method_not_allowed" },
  { ErrorCode::Internal, "internal" },
} } };

/// Whether any part of a refused or failed request reached a backend server.
enum class RunState
{
  NotRun,
  MayHaveRun,
  Ran,
};

inline constexpr NameTable<RunState, 3> kRunStateNames{ { {
  { RunState::NotRun, "not_run" },
  { RunState::MayHaveRun, "may_have_run" },
  { RunState::Ran, "ran" },
} } };

}
