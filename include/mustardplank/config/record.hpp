#pragma once

#include "mustardplank/base/name_table.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace mustardplank::config {

/// Version written into "v" of every record.
inline constexpr int kRecordVersion = 1;

enum class RecordKind
{
  ConfigChange,
  ConfigSnapshot,
  Tombstone,
  LeaseClaim,
  LeaseRenew,
  LeaseRelease,
  OrderIntent,
  OrderOutcome,
  OnceIntent,
  OnceOutcome,
  UsageCounters,
  UsageClose,
  UsageReported,
  CrashReport,
};

inline constexpr NameTable<RecordKind, 14> kRecordKindNames{ { {
  { RecordKind::ConfigChange, "config.change" },
  { RecordKind::ConfigSnapshot, "config.snapshot" },
  { RecordKind::Tombstone, "tombstone" },
  { RecordKind::LeaseClaim, "lease.claim" },
  { RecordKind::LeaseRenew, "lease.renew" },
  { RecordKind::LeaseRelease, "lease.release" },
  { RecordKind::OrderIntent, "order.intent" },
  { RecordKind::OrderOutcome, "order.outcome" },
  { RecordKind::OnceIntent, "once.intent" },
  { RecordKind::OnceOutcome, "once.outcome" },
  { RecordKind::UsageCounters, "usage.counters" },
  { RecordKind::UsageClose, "usage.close" },
  { RecordKind::UsageReported, "usage.reported" },
  { RecordKind::CrashReport, "crash.report" },
} } };

}
