#include "mustardplank/peer/transport.hpp"

#include "mustardplank/base/cbor.hpp"
#include "mustardplank/base/hash.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <netinet/tcp.h>

#include <atomic>
#include <chrono>
#include <map>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

namespace mustardplank::peer {

namespace asio = boost::asio;
using nlohmann::json;
using websocketpp::connection_hdl;

namespace {

constexpr std::size_t kMaxHandshakeBytes = 4 * 1024;
/// A snapshot of the configuration at 500 organisations is the largest message.
constexpr std::size_t kMaxMessageBytes = 16 * 1024 * 1024;
/// More than this unsent means that the peer does not read; its link is closed.
constexpr std::size_t kMaxBufferedBytes = 32 * 1024 * 1024;
constexpr auto kHandshakeTimeout = std::chrono::seconds(2);
constexpr auto kRedialInterval = std::chrono::milliseconds(200);
constexpr std::size_t kNonceBytes = 16;
/// A peer that vanished without closing its connection is noticed when data stays unacknowledged
/// for so long.
constexpr int kUnacknowledgedMillis = 5000;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

std::string
proof(const std::string& aSecret,
      const char* aRole,
      const json& aIdentity,
      const std::string& aNonces)
{
  return hmacSha256Hex(aSecret, std::string(aRole) + "|" + aIdentity.dump() + "|" + aNonces);
}

std::string
text(const json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  return it != aObject.end() && it->is_string() ? it->get<std::string>() : std::string();
}

json
identity(const json& aObject)
{
  return json::array({ text(aObject, "id"), text(aObject, "domain") });
}

/// One accepted or dialled connection.
struct Link
{
  bool dialled = false;
  bool authenticated = false;
  std::string peer;
  std::string failureDomain;
  std::string ownNonce;
  /// Both ends' nonces, on the dialling end once it has answered the challenge.
  std::string nonces;
  std::shared_ptr<asio::steady_timer> timeout;
};

}

struct Transport::Impl
{
  using Server = websocketpp::server<websocketpp::config::asio>;
  using Client = websocketpp::client<websocketpp::config::asio_client>;
  using Links = std::map<connection_hdl, Link, std::owner_less<connection_hdl>>;

  Impl(TransportOptions aOptions, Receive aReceive, Report aReport)
    : options(std::move(aOptions))
    , receive(std::move(aReceive))
    , report(std::move(aReport))
  {
    setUp(server);
    setUp(client);
    server.set_reuse_addr(true);
    server.set_open_handler([this](connection_hdl aHandle) { accepted(aHandle); });
    client.set_open_handler([this](connection_hdl aHandle) { dialled(aHandle); });
    client.set_fail_handler([this](connection_hdl aHandle) { closed(aHandle); });
    websocketpp::lib::error_code ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(options.listenIp),
                                           options.listenPort);
    server.listen(endpoint, ec);
    if (ec) {
      throw std::runtime_error("cannot listen for peers on " + options.listenIp + ":" +
                               std::to_string(options.listenPort) + ": " + ec.message());
    }
    server.start_accept();
    redialLater();
    thread = std::thread([this] { io.run(); });
  }

  template<typename Endpoint>
  void setUp(Endpoint& aEndpoint)
  {
    aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
    aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
    aEndpoint.init_asio(&io);
    aEndpoint.set_max_message_size(kMaxHandshakeBytes);
    aEndpoint.set_open_handshake_timeout(2000);
    aEndpoint.set_close_handshake_timeout(500);
    aEndpoint.set_close_handler([this](connection_hdl aHandle) { closed(aHandle); });
    aEndpoint.set_message_handler([this](connection_hdl aHandle, auto aMessage) {
      received += aMessage->get_payload().size();
      handle(aHandle, aMessage->get_payload());
    });
    // websocketpp leaves Nagle's algorithm on; a small message would wait for the peer's delayed
    // acknowledgement.
    aEndpoint.set_tcp_post_init_handler([&aEndpoint](connection_hdl aHandle) {
      websocketpp::lib::error_code ec;
      if (auto connection = aEndpoint.get_con_from_hdl(aHandle, ec)) {
        boost::system::error_code ignored;
        auto& socket = connection->get_raw_socket();
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket.set_option(UserTimeout(kUnacknowledgedMillis), ignored);
      }
    });
  }

  // Handshake: challenge (accepting end), proof (dialling end), hello (accepting end proves itself
  // in turn).

  void accepted(connection_hdl aHandle)
  {
    auto& link = links[aHandle];
    link.ownNonce = randomHex(kNonceBytes);
    startTimeout(aHandle, link);
    sendJson(aHandle, false, { { "t", "challenge" }, { "nonce", link.ownNonce } });
  }

  void dialled(connection_hdl aHandle)
  {
    auto& link = links[aHandle];
    startTimeout(aHandle, link);
  }

  void startTimeout(connection_hdl aHandle, Link& aLink)
  {
    aLink.timeout = std::make_shared<asio::steady_timer>(io, kHandshakeTimeout);
    aLink.timeout->async_wait([this, aHandle](boost::system::error_code aError) {
      const auto it = links.find(aHandle);
      if (!aError && it != links.end() && !it->second.authenticated) {
        reject(aHandle, "no valid handshake in time");
      }
    });
  }

  void handle(connection_hdl aHandle, const std::string& aPayload)
  {
    const auto it = links.find(aHandle);
    if (it == links.end()) {
      return;
    }
    auto& link = it->second;
    if (link.authenticated) {
      receive(link.peer, link.failureDomain, Bytes(aPayload.begin(), aPayload.end()));
      return;
    }
    const auto message = decodeCbor(aPayload);
    if (!message.is_object()) {
      reject(aHandle, "not a handshake message");
      return;
    }
    if (!link.dialled) {
      handleProof(aHandle, link, message);
    } else if (text(message, "t") == "challenge" && link.ownNonce.empty()) {
      handleChallenge(aHandle, link, message);
    } else {
      handleHello(aHandle, link, message);
    }
  }

  void handleChallenge(connection_hdl aHandle, Link& aLink, const json& aMessage)
  {
    aLink.ownNonce = randomHex(kNonceBytes);
    const json own = json::array({ options.self, options.failureDomain });
    const auto nonces = text(aMessage, "nonce") + "|" + aLink.ownNonce;
    aLink.nonces = nonces;
    sendJson(aHandle,
             true,
             { { "t", "proof" },
               { "id", options.self },
               { "domain", options.failureDomain },
               { "nonce", aLink.ownNonce },
               { "mac", proof(options.secret, "dialler", own, nonces) } });
  }

  void handleProof(connection_hdl aHandle, Link& aLink, const json& aMessage)
  {
    const auto nonces = aLink.ownNonce + "|" + text(aMessage, "nonce");
    const auto expected = proof(options.secret, "dialler", identity(aMessage), nonces);
    if (text(aMessage, "t") != "proof" || !equalConstantTime(expected, text(aMessage, "mac"))) {
      reject(aHandle, "wrong proof of the shared secret");
      return;
    }
    aLink.peer = text(aMessage, "id");
    aLink.failureDomain = text(aMessage, "domain");
    const json own = json::array({ options.self, options.failureDomain });
    sendJson(aHandle,
             false,
             { { "t", "hello" },
               { "id", options.self },
               { "domain", options.failureDomain },
               { "mac", proof(options.secret, "acceptor", own, nonces) } });
    authenticated(aHandle, aLink);
  }

  void handleHello(connection_hdl aHandle, Link& aLink, const json& aMessage)
  {
    const auto expected = proof(options.secret, "acceptor", identity(aMessage), aLink.nonces);
    const bool wrongPeer = text(aMessage, "id") != aLink.peer;
    if (text(aMessage, "t") != "hello" || wrongPeer ||
        !equalConstantTime(expected, text(aMessage, "mac"))) {
      reject(aHandle,
             wrongPeer ? "another instance answers at this address"
                       : "wrong proof of the shared secret");
      return;
    }
    aLink.failureDomain = text(aMessage, "domain");
    authenticated(aHandle, aLink);
  }

  void authenticated(connection_hdl aHandle, Link& aLink)
  {
    aLink.authenticated = true;
    aLink.timeout->cancel();
    (aLink.dialled ? outgoing : incoming)[aLink.peer] = aHandle;
    allowLargeMessages(aHandle, aLink.dialled);
    report("peer.link_up", aLink.peer, aLink.dialled ? "dialled" : "accepted");
  }

  void allowLargeMessages(connection_hdl aHandle, bool aDialled)
  {
    websocketpp::lib::error_code ec;
    if (aDialled) {
      if (auto connection = client.get_con_from_hdl(aHandle, ec)) {
        connection->set_max_message_size(kMaxMessageBytes);
      }
    } else if (auto connection = server.get_con_from_hdl(aHandle, ec)) {
      connection->set_max_message_size(kMaxMessageBytes);
    }
  }

  void reject(connection_hdl aHandle, const char* aWhy)
  {
    const auto it = links.find(aHandle);
    if (it == links.end()) {
      return;
    }
    report("peer.link_rejected", it->second.peer, aWhy);
    close(aHandle, it->second.dialled);
  }

  void close(connection_hdl aHandle, bool aDialled)
  {
    websocketpp::lib::error_code ec;
    constexpr auto kCode = websocketpp::close::status::policy_violation;
    if (aDialled) {
      client.close(aHandle, kCode, "", ec);
    } else {
      server.close(aHandle, kCode, "", ec);
    }
  }

  void closed(connection_hdl aHandle)
  {
    const auto it = links.find(aHandle);
    if (it == links.end()) {
      return;
    }
    const auto link = it->second;
    links.erase(it);
    if (link.timeout) {
      link.timeout->cancel();
    }
    dialling.erase(link.dialled ? link.peer : std::string());
    auto& side = link.dialled ? outgoing : incoming;
    const auto current = side.find(link.peer);
    if (current != side.end() && !current->second.owner_before(aHandle) &&
        !aHandle.owner_before(current->second)) {
      side.erase(current);
      report("peer.link_down", link.peer, link.dialled ? "dialled" : "accepted");
    }
  }

  void redialLater()
  {
    redialTimer.expires_after(kRedialInterval);
    redialTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        dialMissing();
        redialLater();
      }
    });
  }

  void dialMissing()
  {
    for (const auto& it : peers) {
      if (dialling.count(it.id) == 0 && outgoing.count(it.id) == 0) {
        dial(it);
      }
    }
  }

  void dial(const PeerAddress& aPeer)
  {
    websocketpp::lib::error_code ec;
    auto connection = client.get_connection("ws://" + aPeer.address + "/", ec);
    if (ec) {
      report("peer.bad_address", aPeer.id, aPeer.address);
      return;
    }
    auto& link = links[connection->get_handle()];
    link.dialled = true;
    link.peer = aPeer.id;
    dialling.insert(aPeer.id);
    client.connect(connection);
  }

  void replacePeers(std::vector<PeerAddress> aPeers)
  {
    std::map<std::string, std::string> wanted;
    for (const auto& it : aPeers) {
      wanted[it.id] = it.address;
    }
    for (const auto& it : peers) {
      const auto found = wanted.find(it.id);
      const auto link = outgoing.find(it.id);
      if ((found == wanted.end() || found->second != it.address) && link != outgoing.end()) {
        close(link->second, true);
      }
    }
    peers = std::move(aPeers);
    dialMissing();
  }

  void sendJson(connection_hdl aHandle, bool aDialled, const json& aMessage)
  {
    sendBytes(aHandle, aDialled, json::to_cbor(aMessage));
  }

  bool sendBytes(connection_hdl aHandle, bool aDialled, const Bytes& aBytes)
  {
    return aDialled ? sendOn(client, aHandle, aBytes) : sendOn(server, aHandle, aBytes);
  }

  template<typename Endpoint>
  bool sendOn(Endpoint& aEndpoint, connection_hdl aHandle, const Bytes& aBytes)
  {
    websocketpp::lib::error_code ec;
    auto connection = aEndpoint.get_con_from_hdl(aHandle, ec);
    if (ec) {
      return false;
    }
    if (connection->get_buffered_amount() > kMaxBufferedBytes) {
      reject(aHandle, "reads too slowly");
      return false;
    }
    ec = connection->send(aBytes.data(), aBytes.size(), websocketpp::frame::opcode::binary);
    sent += ec ? 0 : aBytes.size();
    return !ec;
  }

  bool sendTo(const std::string& aTo, const Bytes& aBytes)
  {
    const auto own = outgoing.find(aTo);
    if (own != outgoing.end()) {
      return sendBytes(own->second, true, aBytes);
    }
    const auto accepted = incoming.find(aTo);
    return accepted != incoming.end() && sendBytes(accepted->second, false, aBytes);
  }

  TransportOptions options;
  Receive receive;
  Report report;
  asio::io_context io{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work{ io.get_executor() };
  asio::steady_timer redialTimer{ io };
  Server server;
  Client client;
  Links links;
  std::vector<PeerAddress> peers;
  /// Peers with a dialled connection, authenticated or not.
  std::set<std::string> dialling;
  /// Authenticated links by peer.
  std::map<std::string, connection_hdl> outgoing;
  std::map<std::string, connection_hdl> incoming;
  std::atomic<std::uint64_t> sent{ 0 };
  std::atomic<std::uint64_t> received{ 0 };
  std::thread thread;
};

Transport::Transport(TransportOptions aOptions, Receive aReceive, Report aReport)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aReceive), std::move(aReport)))
{
}

Transport::~Transport()
{
  stop();
}

void
Transport::setPeers(std::vector<PeerAddress> aPeers)
{
  post([this, peers = std::move(aPeers)] { mImpl->replacePeers(peers); });
}

void
Transport::post(std::function<void()> aFunction)
{
  asio::post(mImpl->io, std::move(aFunction));
}

bool
Transport::send(const std::string& aTo, const Bytes& aBytes)
{
  return mImpl->sendTo(aTo, aBytes);
}

void
Transport::stop()
{
  mImpl->io.stop();
  if (mImpl->thread.joinable()) {
    mImpl->thread.join();
  }
}

std::uint64_t
Transport::bytesSent() const
{
  return mImpl->sent;
}

std::uint64_t
Transport::bytesReceived() const
{
  return mImpl->received;
}

}
