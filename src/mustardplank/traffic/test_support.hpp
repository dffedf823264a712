#pragma once

#include "mustardplank/base/hash.hpp"
#include "mustardplank/config/change.hpp"
#include "mustardplank/config/store.hpp"
#include "mustardplank/config/test_support.hpp"
#include "mustardplank/traffic/caller_server.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace mustardplank::traffic::test {

namespace http = boost::beast::http;

inline constexpr std::string_view kKey = "port-caller-key-1";
/// How long a test waits for anything before it fails.
inline constexpr int kPatienceMillis = 5000;

/// Polls until aCondition holds; false when it does not within the patience.
template<typename Condition>
bool
eventually(Condition&& aCondition)
{
  for (int waited = 0; waited < kPatienceMillis; waited += 2) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Millis(2));
  }
  return false;
}

/// A blocking TCP connection.
class Connection
{
public:
  explicit Connection(int aSocket)
    : mSocket(aSocket)
  {
  }
  explicit Connection(std::uint16_t aPort)
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      close();
    }
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void close()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
      mSocket = -1;
    }
  }
  /// Ends the connection with a reset instead of an orderly end.
  void reset()
  {
    const linger it{ 1, 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &it, sizeof it);
    close();
  }

  void send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const auto n = ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  /// Returns what came; empty at the end of the connection or after the patience.
  std::string receive(int aPatienceMillis = kPatienceMillis)
  {
    pollfd it{ mSocket, POLLIN, 0 };
    if (::poll(&it, 1, aPatienceMillis) <= 0) {
      mTimedOut = true;
      return {};
    }
    char bytes[4096];
    const auto n = ::recv(mSocket, bytes, sizeof bytes, 0);
    return n > 0 ? std::string(bytes, static_cast<std::size_t>(n)) : std::string();
  }

  /// Returns everything up to and with aEnd; less when the connection ends.
  std::string receiveUntil(std::string_view aEnd)
  {
    while (mReceived.find(aEnd) == std::string::npos) {
      const auto more = receive();
      if (more.empty()) {
        return std::exchange(mReceived, {});
      }
      mReceived += more;
    }
    const auto end = mReceived.find(aEnd) + aEnd.size();
    const std::string result = mReceived.substr(0, end);
    mReceived.erase(0, end);
    return result;
  }

  std::string receiveAll()
  {
    for (std::string more = receive(); !more.empty(); more = receive()) {
      mReceived += more;
    }
    return std::exchange(mReceived, {});
  }

  using Response = http::response<http::string_body>;
  /// One answer; status 0 when the connection ended or was silent before it was complete.
  Response response(bool aHead = false)
  {
    http::response_parser<http::string_body> parser;
    parser.skip(aHead);
    parser.eager(true);
    boost::system::error_code ec;
    while (!parser.is_done()) {
      if (mReceived.empty()) {
        mReceived = receive();
        if (mReceived.empty()) {
          Response none;
          none.result(0U);
          none.body() = parser.get().body();
          return none;
        }
      }
      const auto n = parser.put(boost::asio::buffer(mReceived), ec);
      mReceived.erase(0, n);
      if (ec == http::error::need_more) {
        mReceived += receive();
        if (n == 0 && mTimedOut) {
          return {};
        }
      }
    }
    return parser.release();
  }

  bool isOpen() const { return mSocket >= 0; }
  int socket() const { return mSocket; }

private:
  int mSocket;
  bool mTimedOut = false;
  std::string mReceived;
};

/// A backend server whose answers a test writes byte by byte. One thread for each connection.
class FakeBackend
{
public:
  using Request = http::request<http::string_body>;
  using Handler = std::function<void(Connection&, const Request&)>;

  explicit FakeBackend(Handler aHandler)
    : mHandler(std::move(aHandler))
    , mListener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof address);
    ::listen(mListener, 64);
    socklen_t n = sizeof address;
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &n);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { acceptAll(); });
  }
  ~FakeBackend()
  {
    mStopping = true;
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
    for (const auto& it : mConnections) {
      ::shutdown(it->socket(), SHUT_RDWR);
    }
    for (auto& it : mThreads) {
      it.join();
    }
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(mPort); }
  std::vector<Request> requests() const
  {
    const std::lock_guard lock(mMutex);
    return mRequests;
  }
  std::size_t connections() const { return mAccepted; }

private:
  void acceptAll()
  {
    while (!mStopping) {
      const int socket = ::accept(mListener, nullptr, nullptr);
      if (socket < 0) {
        return;
      }
      ++mAccepted;
      auto connection = std::make_shared<Connection>(socket);
      mConnections.push_back(connection);
      mThreads.emplace_back([this, connection] { serve(*connection); });
    }
  }

  void serve(Connection& aConnection)
  {
    std::string received;
    while (!mStopping) {
      http::request_parser<http::string_body> parser;
      parser.eager(true);
      while (!parser.is_done()) {
        boost::system::error_code ec;
        const auto n = parser.put(boost::asio::buffer(received), ec);
        received.erase(0, n);
        if (!parser.is_done()) {
          const auto more = aConnection.receive(60'000);
          if (more.empty()) {
            return;
          }
          received += more;
        }
      }
      const Request request = parser.release();
      {
        const std::lock_guard lock(mMutex);
        mRequests.push_back(request);
      }
      mHandler(aConnection, request);
      if (!aConnection.isOpen()) {
        return;
      }
    }
  }

  Handler mHandler;
  int mListener;
  std::uint16_t mPort = 0;
  std::atomic<bool> mStopping = false;
  std::atomic<std::size_t> mAccepted = 0;
  mutable std::mutex mMutex;
  std::vector<Request> mRequests;
  std::vector<std::shared_ptr<Connection>> mConnections;
  std::vector<std::thread> mThreads;
  std::thread mThread;
};

// What an engine sends.

inline const std::string kStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n";
inline const std::string kStreamEnd = "0\r\n\r\n";

inline std::string
httpChunk(const std::string& aText)
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

inline std::string
event(const std::string& aData)
{
  return httpChunk("data: " + aData + "\n\n");
}

inline std::string
chunkJson(const std::string& aId, const std::string& aDelta, const std::string& aReason = "null")
{
  return R"({"id":"chatcmpl-)" + aId + R"(","object":"chat.completion.chunk","created":1,)" +
         R"("model":"m1","choices":[{"index":0,"delta":)" + aDelta + R"(,"finish_reason":)" +
         aReason + "}]}";
}

inline std::string
idOf(const FakeBackend::Request& aRequest)
{
  const auto id = aRequest["X-Request-Id"];
  return { id.data(), id.size() };
}

inline std::string
token(const FakeBackend::Request& aRequest, const std::string& aText)
{
  return event(chunkJson(idOf(aRequest), R"({"content":")" + aText + R"("})"));
}

inline std::string
endOfAnswer(const FakeBackend::Request& aRequest)
{
  return event(chunkJson(idOf(aRequest), "{}", R"("stop")")) + event("[DONE]") + kStreamEnd;
}

/// Sends tokens "t<i> " from the one that the request resumes at up to aCount, and the end.
inline void
answerTokens(Connection& aConnection, const FakeBackend::Request& aRequest, unsigned aCount)
{
  const auto body = nlohmann::json::parse(aRequest.body());
  const unsigned from = body.contains("resume") ? body["resume"]["tokens"].get<unsigned>() : 0;
  aConnection.send(kStreamHead);
  for (unsigned i = from; i < aCount; ++i) {
    aConnection.send(token(aRequest, "t" + std::to_string(i) + " "));
  }
  aConnection.send(endOfAnswer(aRequest));
}

inline std::string
tokensText(unsigned aCount)
{
  std::string text;
  for (unsigned i = 0; i < aCount; ++i) {
    text += "t" + std::to_string(i) + " ";
  }
  return text;
}

/// The content of all events of a stream, and whether it ended as it should.
struct StreamText
{
  std::string text;
  std::string error;
  bool done = false;
};

inline StreamText
readStream(const std::string& aBody)
{
  StreamText result;
  std::size_t at = 0;
  for (std::size_t end = aBody.find("\n\n"); end != std::string::npos;
       end = aBody.find("\n\n", at)) {
    const std::string line = aBody.substr(at, end - at);
    at = end + 2;
    if (line == "data: [DONE]") {
      result.done = true;
      continue;
    }
    const auto json = nlohmann::json::parse(line.substr(6));
    if (json.contains("error")) {
      result.error = json["error"]["code"];
      continue;
    }
    for (const auto& choice : json["choices"]) {
      result.text += choice["delta"].value("content", "");
    }
  }
  return result;
}

/// A traffic server whose decisions a test makes. By default each permit is granted at once, on the
/// backend servers in turn.
class Harness
{
public:
  Harness()
  {
    settings.instance = InstanceId("i1");
    settings.callers = { "127.0.0.1", 0 };
    settings.admin = { "127.0.0.1", 0 };
    config::test::fill(log);
    config::CallerKey key;
    key.id = KeyId("k-port");
    key.organisation = OrganisationId("port");
    key.hash = sha256Hex(kKey);
    log.change(config::PutKey{ key });
    addClass("once", false, false);
    addClass("public", true, true);
    addClass("secret", true, false);
    config::Pool pool;
    pool.id = PoolId("desk");
    pool.kind = config::PoolKind::Service;
    pool.service = "permit-desk";
    log.change(config::PutPool{ pool });
    auto urgent = store.current()->classes().at(ClassId("urgent"));
    urgent.pools.push_back(pool.id);
    log.change(config::PutClass{ urgent });
    auto organisation = store.current()->organisations().at(OrganisationId("port"));
    organisation.allowedClasses.push_back(ClassId("once"));
    log.change(config::PutOrganisation{ organisation });
  }
  ~Harness()
  {
    if (server) {
      server->stop();
    }
  }

  void addClass(const std::string& aId, bool aRepeatable, bool aOpen)
  {
    config::RequestClass it;
    it.id = ClassId(aId);
    it.repeatable = aRepeatable;
    it.open = aOpen;
    log.change(config::PutClass{ it });
  }

  void addBackend(const FakeBackend& aBackend) { addresses.push_back(aBackend.address()); }

  void start()
  {
    server = std::make_unique<TrafficServer>(
      settings, nullptr, [this](Event aEvent) { return onEvent(std::move(aEvent)); });
    server->start();
    publish();
  }

  void publish() { post(NewConfig{ store.current() }); }

  void post(Command aCommand)
  {
    const std::lock_guard lock(mPostMutex);
    server->post(std::move(aCommand));
  }

  void grant(const RequestId& aId, std::uint32_t aAttempt, const std::string& aAddress)
  {
    pool::StartStream start;
    start.id = aId;
    start.attempt = aAttempt;
    start.epoch = 1;
    start.server = BackendServerId(aAddress);
    start.address = aAddress;
    post(std::move(start));
  }

  /// All events of one kind so far.
  template<typename T>
  std::vector<T> events() const
  {
    const std::lock_guard lock(mMutex);
    std::vector<T> found;
    for (const auto& it : mEvents) {
      if (const auto* one = std::get_if<T>(&it)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  template<typename T>
  bool waitFor(std::size_t aCount)
  {
    return eventually([&] { return events<T>().size() >= aCount; });
  }

  std::vector<pool::SlotOutcome> outcomes() const
  {
    std::vector<pool::SlotOutcome> found;
    for (const auto& it : events<StreamEnded>()) {
      found.push_back(it.release.outcome);
    }
    return found;
  }

  std::unique_ptr<Connection> connect() const
  {
    return std::make_unique<Connection>(server->callersPort());
  }

  settings::Settings settings;
  config::Store store;
  config::test::Log log{ store };
  std::vector<std::string> addresses;
  std::atomic<bool> grantsAtOnce = true;
  std::atomic<bool> ringFull = false;
  std::unique_ptr<TrafficServer> server;

private:
  bool onEvent(Event aEvent)
  {
    if (ringFull) {
      return false;
    }
    const auto* submit = std::get_if<Submit>(&aEvent);
    if (submit != nullptr && grantsAtOnce && !addresses.empty()) {
      const auto& address = addresses[(submit->request.attempt - 1) % addresses.size()];
      grant(submit->request.id, submit->request.attempt, address);
    }
    const std::lock_guard lock(mMutex);
    mEvents.push_back(std::move(aEvent));
    return true;
  }

  mutable std::mutex mMutex;
  std::mutex mPostMutex;
  std::vector<Event> mEvents;
};

// What a caller sends.

inline std::string
httpRequest(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aHeaders,
            const std::string& aBody)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: x\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline const std::string kAuthorization = "Authorization: Bearer " + std::string(kKey) + "\r\n";

inline std::string
chatBody(bool aStream)
{
  return std::string(R"({"model":"m1","stream":)") + (aStream ? "true" : "false") +
         R"(,"messages":[{"role":"user","content":"Is bridge 7 open?"}]})";
}

inline std::string
chat(bool aStream, const std::string& aHeaders = kAuthorization)
{
  return httpRequest("POST", "/v1/chat/completions", aHeaders, chatBody(aStream));
}

inline std::string
errorCode(const Connection::Response& aResponse)
{
  const auto body = nlohmann::json::parse(aResponse.body(), nullptr, false);
  return body.is_object() && body.contains("error") ? body["error"].value("code", "") : "";
}

inline std::string
runState(const Connection::Response& aResponse)
{
  const auto body = nlohmann::json::parse(aResponse.body(), nullptr, false);
  return body.is_object() && body.contains("error") ? body["error"].value("run_state", "") : "";
}

}
