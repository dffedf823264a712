#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/lease/order_journal.hpp"
#include "mustardplank/operator/events.hpp"
#include "mustardplank/peer/messages.hpp"
#include "mustardplank/platform/platform.hpp"
#include "mustardplank/traffic/events.hpp"
#include "mustardplank/usage/usage.hpp"

#include <string>
#include <variant>
#include <vector>

namespace mustardplank::daemon {

// What the other threads tell the decisions thread.

struct PeerMessage
{
  InstanceId from;
  FailureDomainId failureDomain;
  peer::Message message;
};

struct PeerLinkUp
{
  InstanceId peer;
};

using PeerEvent = std::variant<PeerMessage, PeerLinkUp>;

struct LogRead
{
  platform::Result<platform::LogChunk> result;
};

struct AppendDone
{
  platform::Result<platform::Appended> result;
};

struct InstancesRead
{
  platform::Result<std::vector<platform::Instance>> result;
};

struct ServersRead
{
  platform::Result<std::vector<platform::PlatformServer>> result;
};

struct ServerOrdered
{
  lease::Execute execute;
  platform::Result<platform::OrderResult> result;
};

struct UsageReported
{
  usage::SendReport report;
  platform::Result<platform::Empty> result;
};

/// A single log entry that was asked for again.
struct EntryFetched
{
  platform::Offset offset = 0;
  platform::Result<platform::LogChunk> result;
};

using PlatformEvent = std::variant<LogRead,
                                   AppendDone,
                                   InstancesRead,
                                   ServersRead,
                                   ServerOrdered,
                                   UsageReported,
                                   EntryFetched>;

struct Tick
{
  TimePoint now;
};

/// SIGTERM: drain and end.
struct Terminate
{};

using ControlEvent = std::variant<Tick, Terminate>;

}
