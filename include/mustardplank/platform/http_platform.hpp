#pragma once

#include "mustardplank/platform/platform.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mustardplank::platform {

/// Shorter than the 2 s safety margin of a lease, so that no call outlives the lease under which it
/// is made.
inline constexpr Duration kCallTimeout = Seconds(1);

/// Calls the platform's HTTP/JSON interface on its own thread. Methods are called from one thread
/// only, which may be any; callbacks run on the platform thread.
///
///     HttpPlatform platform("127.0.0.1", 7000);
///     platform.append({ record }, [](Result<Appended> aResult) { ... });
class HttpPlatform : public Platform
{
public:
  HttpPlatform(std::string aIp, std::uint16_t aPort);
  ~HttpPlatform() override;

  void append(std::vector<std::string> aJsonRecords, Callback<Appended> aDone) override;
  void readLog(Offset aFrom, std::size_t aLimit, Duration aWait, Callback<LogChunk> aDone) override;
  void listInstances(Callback<std::vector<Instance>> aDone) override;
  void listServers(Callback<std::vector<PlatformServer>> aDone) override;
  void orderServer(ServerOrder aOrder, Callback<OrderResult> aDone) override;
  void reportUsage(UsageReport aReport, Callback<Empty> aDone) override;

  /// Joins the thread; calls in progress get no callback.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
