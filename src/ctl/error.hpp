#pragma once

#include <boost/leaf.hpp>

#include <string>

namespace mustardplank::ctl {

namespace leaf = boost::leaf;

/// Exit codes of mustardplankctl.
enum class ExitCode
{
  Ok = 0,
  /// The instance refused the call, and a repeat of the same call will be refused again.
  Refused = 1,
  /// The command line is wrong; nothing was sent.
  Usage = 2,
  /// No answer, or the log cannot be reached: the outcome is not known.
  Unreachable = 3,
  /// Somebody else changed the object.
  Conflict = 4,
};

/// Why a command failed. The message says what to do next.
struct CtlError
{
  ExitCode code = ExitCode::Refused;
  std::string message;
};

}
