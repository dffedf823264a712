#pragma once

// This header and its source are C++17, as websocketpp 0.8.2 does not compile as C++20; so names
// are plain strings here.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mustardplank::peer {

struct TransportOptions
{
  std::string self;
  std::string failureDomain;
  std::string listenIp;
  std::uint16_t listenPort = 0;
  /// Shared by all instances. Both ends of a link prove that they know it before any message is
  /// handled.
  std::string secret;
};

struct PeerAddress
{
  std::string id;
  /// "ip:port".
  std::string address;
};

/// Authenticated message links between instances, on a thread of their own. Each instance dials the
/// peers that it is given and sends over its own link; over an accepted one only while it has none.
class Transport
{
public:
  using Bytes = std::vector<std::uint8_t>;
  /// Called on the transport's thread. The sender's name and failure domain are the ones that it
  /// authenticated with.
  using Receive =
    std::function<void(const std::string& aFrom, const std::string& aFailureDomain, Bytes aBytes)>;
  /// Called on the transport's thread for each event worth a log line: name, peer, detail.
  using Report =
    std::function<void(const char* aEvent, const std::string& aPeer, const std::string& aDetail)>;

  /// Throws std::runtime_error when the address cannot be bound.
  Transport(TransportOptions aOptions, Receive aReceive, Report aReport);
  ~Transport();

  /// Replaces the list of peers to dial. Any thread.
  void setPeers(std::vector<PeerAddress> aPeers);
  /// Runs aFunction on the transport's thread.
  void post(std::function<void()> aFunction);
  /// Only on the transport's thread. Returns false when there is no link or the peer reads too
  /// slowly.
  bool send(const std::string& aTo, const Bytes& aBytes);
  /// Ends all links and the thread.
  void stop();

  /// Bytes sent and received on all links since the start, without TCP's own.
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
