#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/pool/client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardplank::settings {

/// "ip:port" split in two; names are not resolved.
struct Address
{
  std::string ip;
  std::uint16_t port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

struct OperatorToken
{
  std::string name;
  /// SHA-256 of the token in lower-case hexadecimal.
  std::string hash;
};

struct CallerLimits
{
  std::uint32_t maxConnections = 4096;
  std::uint32_t maxHeaderBytes = 16 * 1024;
  std::uint32_t maxBodyBytes = 1024 * 1024;
  Duration headerTimeout = Seconds(10);
  Duration bodyTimeout = Seconds(30);
  Duration idleTimeout = Seconds(120);
  /// A caller that takes no byte for so long is disconnected.
  Duration writeTimeout = Seconds(30);
};

struct Mechanisms
{
  /// Each switches one mechanism off, to show in tests what it prevents. All true in production.
  bool leases = true;
  bool epochs = true;
  bool tombstones = true;
  bool intents = true;
  bool coldLimits = true;
  bool crashIsolation = true;
  bool expectedRevisions = true;
  bool drain = true;
  bool tiers = true;
  bool minShare = true;
  bool resume = true;
};

/// Everything a daemon reads from its settings file.
struct Settings
{
  InstanceId instance;
  FailureDomainId failureDomain;
  Address callers;
  Address peers;
  Address operators;
  Address admin;
  /// "ip:port" of the platform.
  Address platform;
  /// Shared by all instances; authenticates peer links.
  std::string peerSecret;
  std::vector<OperatorToken> operatorTokens;
  CallerLimits callerLimits;
  LogLevel logLevel = LogLevel::Info;
  pool::SlotPolicy policy = pool::SlotPolicy::Owner;
  /// How long SIGTERM waits for running streams.
  Duration drainTimeout = Seconds(60);
  Duration usageWindow = Seconds(60);
  /// Orders for backend servers are given only when set.
  bool orderServers = false;
  Mechanisms mechanisms;
};

}
