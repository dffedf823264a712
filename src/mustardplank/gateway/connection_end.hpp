#pragma once

#include "mustardplank/base/name_table.hpp"

namespace mustardplank::gateway {

/// Why a caller's connection ended.
enum class ConnectionEnd
{
  /// The caller closed or reset it.
  CallerClosed,
  /// Output could not be written: the caller does not take it, or cannot be reached.
  WriteFailed,
  /// The last response announced it, or the caller asked for it.
  Announced,
  /// No request came within the idle limit.
  Idle,
  /// A response that had begun could not be completed.
  BrokenOff,
  /// The caller left too much of its output unread.
  OutputDropped,
  /// Callers held too much memory together.
  Overload,
  /// There were too many connections, and another address had fewer.
  Replaced,
  /// No request was in progress at a planned stop.
  Draining,
};

inline constexpr NameTable<ConnectionEnd, 9> kConnectionEndNames{ { {
  { ConnectionEnd::CallerClosed, "caller_closed" },
  { ConnectionEnd::WriteFailed, "write_failed" },
  { ConnectionEnd::Announced, "announced" },
  { ConnectionEnd::Idle, "idle" },
  { ConnectionEnd::BrokenOff, "broken_off" },
  { ConnectionEnd::OutputDropped, "output_dropped" },
  { ConnectionEnd::Overload, "overload" },
  { ConnectionEnd::Replaced, "replaced" },
  { ConnectionEnd::Draining, "draining" },
} } };

}
