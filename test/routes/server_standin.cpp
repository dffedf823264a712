#include "server_standin.hpp"

#include "false_answers.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace mustardplank::routes {

namespace asio = boost::asio;
using standins::Awaitable;
using standins::Request;
using standins::SocketPtr;

namespace {

/// Events of a stream that the mode does not limit.
constexpr int kTotalEvents = 6;
constexpr int kLongSilenceMs = 2200;
constexpr int kDelayMs = 1200;

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);

Awaitable<bool>
writeText(SocketPtr aSocket, std::string aText)
{
  const auto [ec, n] = co_await asio::async_write(*aSocket, asio::buffer(aText), kUse);
  co_return !ec;
}

std::string
answerText(unsigned aStatus,
           const std::string& aAttempt,
           const std::string& aFields,
           const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nX-Attempt-Id: " + aAttempt + "\r\n" +
         aFields + "Keep-Alive: timeout=5\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

bool
isStreamPath(const std::string& aPath)
{
  return aPath.starts_with("/events/") || aPath.starts_with("/resume/");
}

/// The mode that a path names for this arrival of the attempt, which counts as one if aCounts.
std::string
modeOf(const std::string& aPath, const std::string& aAttempt, bool aCounts = true)
{
  static std::mutex mutex;
  static std::map<std::string, std::size_t> arrivals;
  std::string modes = aPath.substr(aPath.rfind('/') + 1);
  const std::lock_guard lock(mutex);
  auto& arrived = arrivals[aAttempt];
  const auto before = arrived;
  arrived += aCounts ? 1 : 0;
  for (std::size_t i = before; i > 0 && modes.find('+') != std::string::npos; --i) {
    modes.erase(0, modes.find('+') + 1);
  }
  return modes.substr(0, modes.find('+'));
}

int
numberIn(const std::string& aMode, std::size_t aAt)
{
  return std::atoi(aMode.c_str() + aAt);
}

std::string
chunkText(const std::string& aBytes)
{
  char buf[16];
  std::snprintf(buf, sizeof buf, "%zx\r\n", aBytes.size());
  return buf + aBytes + "\r\n";
}

}

ServerStandin::ServerStandin(asio::io_context& aIo, std::string aId)
  : mId(std::move(aId))
{
  mAddress = standins::serveHttp(
    aIo,
    "127.0.0.1:0",
    [this](SocketPtr aSocket, Request& aRequest) { return handle(std::move(aSocket), aRequest); },
    [this](SocketPtr aSocket, const Request& aHead) {
      return handleHead(std::move(aSocket), aHead);
    },
    [this] {
      const std::lock_guard lock(mMutex);
      return mGreeting;
    });
}

std::vector<ServerStandin::Arrival>
ServerStandin::arrivals() const
{
  const std::lock_guard lock(mMutex);
  return mArrivals;
}

void
ServerStandin::setMoreFields(std::string aFields)
{
  const std::lock_guard lock(mMutex);
  mMoreFields = std::move(aFields);
}

void
ServerStandin::setGreeting(std::string aGreeting)
{
  const std::lock_guard lock(mMutex);
  mGreeting = std::move(aGreeting);
}

void
ServerStandin::setVersion(std::string aVersion)
{
  const std::lock_guard lock(mMutex);
  mVersion = std::move(aVersion);
}

void
ServerStandin::setEndlessReports(std::string aPart)
{
  const std::lock_guard lock(mMutex);
  mEndlessReports = std::move(aPart);
}

std::string
ServerStandin::endlessReports() const
{
  const std::lock_guard lock(mMutex);
  return mEndlessReports;
}

std::string
ServerStandin::version() const
{
  const std::lock_guard lock(mMutex);
  return mVersion;
}

void
ServerStandin::setFault(const std::string& aPathPrefix, unsigned aOneIn)
{
  const std::lock_guard lock(mMutex);
  mFaultPrefix = aPathPrefix;
  mFaultOneIn = aOneIn;
}

std::vector<std::chrono::steady_clock::time_point>
ServerStandin::faults() const
{
  const std::lock_guard lock(mMutex);
  return mFaults;
}

bool
ServerStandin::takeFault(const std::string& aPath)
{
  const std::lock_guard lock(mMutex);
  if (mFaultOneIn == 0 || !aPath.starts_with(mFaultPrefix) || ++mFaultTurn % mFaultOneIn != 0) {
    return false;
  }
  mFaults.push_back(std::chrono::steady_clock::now());
  return true;
}

std::string
ServerStandin::moreFields() const
{
  const std::lock_guard lock(mMutex);
  return mMoreFields;
}

void
ServerStandin::setHeld(const std::string& aPart, bool aHeld)
{
  const std::lock_guard lock(mMutex);
  mHeldEvents.emplace_back(aPart, aHeld);
}

std::optional<std::string>
ServerStandin::reportFrom(std::uint64_t aSince, bool aEvenIfEmpty) const
{
  const std::lock_guard lock(mMutex);
  if (!aEvenIfEmpty && aSince >= mHeldEvents.size()) {
    return std::nullopt;
  }
  auto events = nlohmann::json::array();
  for (auto i = aSince; i < mHeldEvents.size(); ++i) {
    const auto& [part, held] = mHeldEvents[i];
    events.push_back(nlohmann::json::array({ i, held ? "+" : "-", "", part, held ? 100 : 0, "m" }));
  }
  const nlohmann::json report{
    { "epoch", 7 }, { "next", mHeldEvents.size() }, { "lost", false }, { "events", events }
  };
  return report.dump();
}

Awaitable<bool>
ServerStandin::report(SocketPtr aSocket, Request& aRequest)
{
  constexpr int kMaxWaitMs = 1000;
  constexpr int kStepMs = 10;
  ++mReportCalls;
  if (const auto part = endlessReports(); !part.empty()) {
    co_await writeEndlessly(aSocket, "", part);
    co_return false;
  }
  if (mWaitingReportCalls > 0) {
    ++mRefusedReportCalls;
    co_return co_await writeText(aSocket, answerText(429, "", "", ""));
  }
  ++mWaitingReportCalls;
  const auto since = standins::queryNumber(aRequest, "since", 0);
  const int waitMs = std::min(kMaxWaitMs, std::atoi(std::string(aRequest["Wait-Ms"]).c_str()));
  auto text = reportFrom(since, false);
  for (int ms = 0; !text && ms < waitMs; ms += kStepMs) {
    co_await standins::sleepMillis(kStepMs);
    text = reportFrom(since, false);
  }
  --mWaitingReportCalls;
  if (!text) {
    text = reportFrom(since, true);
  }
  const auto answer = answerText(200, "", "", *text);
  co_return co_await writeText(aSocket, answer);
}

Awaitable<void>
ServerStandin::awaitClose(SocketPtr aSocket)
{
  char byte = 0;
  co_await aSocket->async_read_some(asio::buffer(&byte, 1), kUse);
  ++mCancelled;
}

bool
ServerStandin::followsMode() const
{
  return mFailing && !mReplaced && !mFull && !mBreakingOff;
}

Awaitable<bool>
ServerStandin::handleHead(SocketPtr aSocket, const Request& aHead)
{
  const std::string path(aHead.target());
  if (path.find("false_") == std::string::npos || !followsMode()) {
    co_return true;
  }
  Arrival arrival;
  arrival.attempt = std::string(aHead["X-Attempt-Id"]);
  arrival.path = path;
  arrival.at = std::chrono::steady_clock::now();
  arrival.whole = false;
  const auto* answer = falseAnswerOf(modeOf(path, arrival.attempt, false));
  if (!answer || answer->at != FalseAnswer::At::RequestHead) {
    co_return true;
  }
  const auto attempt = arrival.attempt;
  if (answer->end != FalseAnswer::End::ReadOn) {
    modeOf(path, attempt);
    const std::lock_guard lock(mMutex);
    mArrivals.push_back(std::move(arrival));
  }
  co_return co_await writeFalseAnswer(aSocket, *answer, attempt, isStreamPath(path));
}

Awaitable<bool>
ServerStandin::handle(SocketPtr aSocket, Request& aRequest)
{
  if (standins::pathOf(aRequest) == "/kv-events") {
    co_return co_await report(aSocket, aRequest);
  }
  Arrival arrival;
  arrival.attempt = std::string(aRequest["X-Attempt-Id"]);
  arrival.path = std::string(aRequest.target());
  arrival.body = aRequest.body();
  arrival.at = std::chrono::steady_clock::now();
  for (const auto& it : aRequest) {
    arrival.headers[std::string(it.name_string())] = std::string(it.value());
  }
  const std::string expected(aRequest["X-Expected-Instance"]);
  auto mode = modeOf(arrival.path, arrival.attempt);
  const auto attempt = arrival.attempt;
  const std::string signature =
    "X-Response-Signature: sig-" + attempt + "\r\nX-Instance-Load: 1,0,8" +
    (mWorkPercent > 0 ? "," + std::to_string(mWorkPercent) : "") + "\r\n" + moreFields();
  const std::string whole = answerText(200, attempt, signature, "answer to " + attempt);
  {
    const std::lock_guard lock(mMutex);
    mArrivals.push_back(arrival);
  }
  if (const auto* answer = followsMode() ? falseAnswerOf(mode) : nullptr) {
    if (answer->at == FalseAnswer::At::RequestHead) {
      // Answered before the body was read.
      co_return true;
    }
    co_return co_await writeFalseAnswer(aSocket, *answer, attempt, isStreamPath(arrival.path));
  }
  if (mode.starts_with("after")) {
    co_await standins::sleepMillis(numberIn(mode, 5));
    mode.erase(0, mode.find('_') + 1);
  }
  if (mReplaced || mode == "replaced" || (!expected.empty() && expected != mId)) {
    co_return co_await writeText(aSocket, answerText(421, attempt, "X-Instance-Id: other\r\n", ""));
  }
  if (mFull) {
    co_return co_await writeText(aSocket, answerText(503, attempt, "X-Not-Executed: 1\r\n", ""));
  }
  if (mBreakingOff) {
    co_return false;
  }
  if (takeFault(arrival.path)) {
    co_return co_await writeText(aSocket, answerText(500, attempt, signature, "failed"));
  }
  if (std::string(aRequest["X-Prefix-Hash"]).find("dead:") != std::string::npos) {
    co_await stream(aSocket, aRequest, { 0, StreamEnd::ConnectionClosed });
    ++mCrashes;
    co_return false;
  }
  if (const auto plan = streamPlan(mode)) {
    co_return co_await stream(aSocket, aRequest, *plan);
  }
  if (mFailing && mode.starts_with("endless_")) {
    co_await writeEndlessly(aSocket, attempt, mode.substr(8));
    co_return false;
  }
  if (mode == "begin_crash") {
    co_await writeEmptyStream(aSocket, attempt, 0);
    ++mCrashes;
    co_return false;
  }
  if (mode.starts_with("open_empty")) {
    co_await writeEmptyStream(aSocket, attempt, numberIn(mode, std::string("open_empty").size()));
    co_return false;
  }
  if (mode.starts_with("no_resume")) {
    if (std::string(aRequest["Last-Event-Id"]).empty()) {
      co_return co_await stream(aSocket, aRequest, { 2, StreamEnd::ConnectionClosed });
    }
    const auto status = static_cast<unsigned>(std::atoi(mode.c_str() + mode.rfind('e') + 1));
    co_return co_await writeText(
      aSocket,
      answerText(status, attempt, signature + "Content-Type: application/json\r\n", "failed\n\n"));
  }
  if (mode == "wide") {
    constexpr std::size_t kWideBytes = 600 * 1024;
    const auto event = "id: 1\ndata: " + std::string(kWideBytes, 'x') + "\n\n";
    co_return co_await writeText(aSocket,
                                 "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\n" +
                                   signature + "Content-Type: text/event-stream\r\n" +
                                   "Transfer-Encoding: chunked\r\n\r\n" + chunkText(event) +
                                   "0\r\n\r\n");
  }
  if (mode.starts_with("failing_half")) {
    co_await writeInParts(
      aSocket, answerText(500, attempt, signature, "failed"), mode.substr(mode.find("half")));
    co_return false;
  }
  if (mode.starts_with("half") || mode == "drip") {
    co_await writeInParts(aSocket, whole, mode);
    co_return false;
  }
  if (mode.starts_with("delayed")) {
    const int delayMs = std::atoi(mode.c_str() + std::string("delayed").size());
    co_await standins::sleepMillis(delayMs > 0 ? delayMs : kDelayMs);
    co_return co_await writeText(aSocket, whole);
  }
  if (mode.starts_with("large")) {
    const auto bytes =
      static_cast<std::size_t>(std::atoi(mode.c_str() + std::string("large").size())) * 1024;
    co_return co_await writeText(aSocket,
                                 answerText(200, attempt, signature, std::string(bytes, 'x')));
  }
  if (!mFailing || mode == "ok") {
    co_return co_await writeText(aSocket, whole);
  }
  if (mode == "crash") {
    ++mCrashes;
    co_return false;
  }
  if (mode == "error") {
    co_return co_await writeText(aSocket, answerText(500, attempt, signature, "failed"));
  }
  if (mode.starts_with("status")) {
    const auto status = static_cast<unsigned>(numberIn(mode, std::string("status").size()));
    co_return co_await writeText(aSocket, answerText(status, attempt, signature, "failed"));
  }
  if (mode == "not_run") {
    co_return co_await writeText(
      aSocket, answerText(503, attempt, "X-Not-Executed: 1\r\n" + moreFields(), ""));
  }
  if (mode == "hang") {
    co_await awaitClose(aSocket);
    co_return false;
  }
  if (mode == "cut") {
    co_await writeText(aSocket, whole.substr(0, whole.size() - 5));
    co_return false;
  }
  if (mode == "garbage") {
    co_await writeText(aSocket, "\x01\x02 this is no answer\r\n\r\n");
    co_return false;
  }
  if (mode.starts_with("head_cut")) {
    const auto head = whole.substr(0, whole.find("\r\n\r\n") + 4);
    const std::size_t missing[] = { 1, 2, 4, head.size() / 2, head.size() - 17, head.size() - 5 };
    const auto index = static_cast<std::size_t>(std::atoi(mode.c_str() + mode.rfind('t') + 1));
    co_await writeText(aSocket, head.substr(0, head.size() - missing[index]));
    co_return false;
  }
  if (mode == "old_refusal") {
    co_return co_await writeText(aSocket,
                                 answerText(503, "other", "X-Not-Executed: 1\r\n", "") + whole);
  }
  if (mode == "nameless") {
    const auto body = "answer to " + attempt;
    co_return co_await writeText(aSocket,
                                 "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  if (mode == "nameless_refusal") {
    co_return co_await writeText(
      aSocket, "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" + whole);
  }
  if (mode == "surplus") {
    co_return co_await writeText(aSocket, whole + answerText(200, "other", signature, "surplus"));
  }
  if (mode == "late") {
    co_return co_await writeText(aSocket, answerText(200, "other", signature, "late") + whole);
  }
  co_return co_await writeText(aSocket, answerText(200, attempt, "", "not signed"));
}

Awaitable<void>
ServerStandin::writeEndlessly(SocketPtr aSocket, std::string aAttempt, std::string aPart)
{
  constexpr std::size_t kMaxBytes = 256 * 1024 * 1024;
  const std::string signed200 =
    "HTTP/1.1 200 OK\r\nX-Response-Signature: sig\r\nX-Attempt-Id: " + aAttempt + "\r\n";
  const std::string failed500 = "HTTP/1.1 500 X\r\nX-Attempt-Id: " + aAttempt + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  std::string begin;
  std::string repeated(64 * 1024, 'x');
  if (aPart == "head") {
    begin = signed200 + "X-Long: ";
  } else if (aPart == "interim") {
    repeated.clear();
    for (int i = 0; i < 1000; ++i) {
      repeated += "HTTP/1.1 102 Processing\r\n\r\n";
    }
  } else if (aPart == "other") {
    begin = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n";
  } else if (aPart == "chunk") {
    begin = signed200 + chunked + "1;";
  } else if (aPart == "trailer") {
    begin = signed200 + chunked + "1\r\na\r\n0\r\nX-Trailer: ";
  } else if (aPart == "values") {
    constexpr int kValues = 13'000'000;
    begin =
      signed200 + "Content-Length: " + std::to_string(14 + 3 * kValues) + "\r\n\r\n{\"events\":[[]";
    repeated.clear();
    for (int i = 0; i < kValues; ++i) {
      repeated += ",[]";
    }
    repeated += "]}";
  } else if (aPart == "event") {
    begin = signed200 + "Content-Type: text/event-stream\r\n\r\ndata: ";
  } else if (aPart == "length") {
    begin = signed200 + "Content-Length: 90000000000\r\n\r\n";
  } else if (aPart == "length_event") {
    begin =
      signed200 + "Content-Type: text/event-stream\r\nContent-Length: 90000000000\r\n\r\ndata: ";
  } else if (aPart == "chunked_body") {
    begin = signed200 + chunked;
    repeated = chunkText(repeated);
  } else if (aPart == "failure_body") {
    begin = failed500 + "\r\n";
  } else if (aPart == "failure_length") {
    begin = failed500 + "Content-Length: 90000000000\r\n\r\n";
  } else {
    begin = signed200 + "\r\n";
  }
  bool open = co_await writeText(aSocket, std::move(begin));
  for (std::size_t sum = 0; open && sum < kMaxBytes; sum += repeated.size()) {
    open = co_await writeText(aSocket, repeated);
    mEndlessBytes += repeated.size();
    if (const int ms = mEndlessPauseMs; ms > 0) {
      co_await standins::sleepMillis(ms);
    }
  }
  if (!open) {
    ++mCancelled;
  }
}

Awaitable<void>
ServerStandin::writeInParts(SocketPtr aSocket, std::string aText, std::string aMode)
{
  constexpr int kDrips = 200;
  constexpr int kDripPauseMs = 50;
  if (aMode.starts_with("half")) {
    const auto n = aText.size() - 5;
    co_await writeText(aSocket, aText.substr(0, n));
    co_await standins::sleepMillis(numberIn(aMode, 4));
    co_await writeText(aSocket, aText.substr(n));
    co_return;
  }
  auto head = aText.substr(0, aText.find("Content-Length"));
  head += "Content-Length: " + std::to_string(kDrips) + "\r\n\r\n";
  bool open = co_await writeText(aSocket, std::move(head));
  for (int i = 0; open && i < kDrips; ++i) {
    open = co_await writeText(aSocket, "x");
    co_await standins::sleepMillis(kDripPauseMs);
  }
  if (!open) {
    ++mCancelled;
  }
}

Awaitable<void>
ServerStandin::trickle(SocketPtr aSocket)
{
  bool open = true;
  while (open) {
    open = co_await writeText(aSocket, chunkText("x"));
    co_await standins::sleepMillis(50);
  }
  ++mCancelled;
}

Awaitable<void>
ServerStandin::writeEmptyStream(SocketPtr aSocket, std::string aAttempt, int aForMs)
{
  co_await writeText(aSocket,
                     "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + aAttempt +
                       "\r\nX-Response-Signature: sig-" + mId +
                       "\r\nContent-Type: text/event-stream\r\n\r\n");
  co_await standins::sleepMillis(aForMs);
}

std::optional<ServerStandin::StreamPlan>
ServerStandin::streamPlan(const std::string& aMode)
{
  static const std::pair<std::string, StreamPlan> kPlans[] = {
    { "stream", { 0, StreamEnd::Complete } },
    { "broken", { 0, StreamEnd::ConnectionClosed } },
    { "torn", { 0, StreamEnd::LastChunk } },
    { "trickle", { 0, StreamEnd::Trickle } },
    { "stuck", { 0, StreamEnd::Stuck } },
    { "slow_broken", { 0, StreamEnd::ConnectionClosed, 600 } },
    { "slow", { 0, StreamEnd::Complete, 600 } },
    { "open_late_broken", { 0, StreamEnd::ConnectionClosed, 50, Framing::None, 0, 0, kDelayMs } },
    { "open_stream", { 0, StreamEnd::Complete, 50, Framing::None } },
    { "open_broken", { 0, StreamEnd::ConnectionClosed, 50, Framing::None } },
    { "open_reset", { 0, StreamEnd::ConnectionReset, 50, Framing::None } },
  };
  if (aMode.starts_with("silent") || aMode.starts_with("open_silent") ||
      aMode.starts_with("long_silent")) {
    StreamPlan plan;
    plan.events = kTotalEvents;
    if (aMode.starts_with("long")) {
      plan.silenceMs = kLongSilenceMs;
    }
    plan.framing = aMode.starts_with("open") ? Framing::None : Framing::Chunked;
    plan.silentAfter = std::atoi(aMode.c_str() + aMode.rfind('t') + 1);
    return plan;
  }
  if (aMode.starts_with("head") && !aMode.starts_with("head_cut")) {
    StreamPlan plan;
    plan.events = kTotalEvents;
    plan.firstEventMs = numberIn(aMode, 4);
    return plan;
  }
  for (const auto& [name, plan] : kPlans) {
    if (aMode.starts_with(name)) {
      auto result = plan;
      result.events = std::atoi(aMode.c_str() + name.size());
      return result;
    }
  }
  return std::nullopt;
}

Awaitable<bool>
ServerStandin::stream(SocketPtr aSocket, Request& aRequest, StreamPlan aPlan)
{
  const bool chunked = aPlan.framing == Framing::Chunked;
  const auto framed = [&](const std::string& aText) { return chunked ? chunkText(aText) : aText; };
  const std::string last(aRequest["Last-Event-Id"]);
  const bool stuck = aPlan.end == StreamEnd::Stuck;
  const bool always = stuck || aPlan.lastPauseMs > 0;
  const bool breaks = aPlan.end != StreamEnd::Complete && (last.empty() || always) && mFailing;
  const int total = aPlan.end != StreamEnd::Complete ? kTotalEvents : aPlan.events;
  std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string(aRequest["X-Attempt-Id"]) +
                     "\r\nX-Response-Signature: sig-" + mId +
                     "\r\nContent-Type: text/event-stream\r\n" + moreFields() +
                     (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
  bool open = co_await writeText(aSocket, std::move(head));
  co_await standins::sleepMillis(aPlan.firstEventMs);
  const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  for (int i = first; open && i <= total; ++i) {
    if (breaks && i - (always ? first - 1 : 0) > aPlan.events) {
      if (stuck) {
        co_await awaitClose(aSocket);
        co_return false;
      }
      if (aPlan.end == StreamEnd::Trickle) {
        co_await trickle(aSocket);
        co_return false;
      }
      co_await standins::sleepMillis(aPlan.lastPauseMs);
      co_await writeText(aSocket, framed("id: " + std::to_string(i) + "\nda"));
      if (aPlan.end == StreamEnd::LastChunk) {
        co_return co_await writeText(aSocket, "0\r\n\r\n");
      }
      if (aPlan.end == StreamEnd::ConnectionReset) {
        // The reset discards what the receiver has not read yet.
        co_await standins::sleepMillis(aPlan.pauseMs);
        aSocket->set_option(asio::socket_base::linger(true, 0));
        aSocket->close();
      }
      co_return false;
    }
    std::string text = "id: " + std::to_string(i);
    text += "\ndata: t" + std::to_string(i);
    if (const auto own = version(); !own.empty()) {
      text += " of " + own;
    }
    text += "\n\n";
    open = co_await writeText(aSocket, framed(text));
    const bool fallsSilent = i == aPlan.silentAfter && last.empty();
    co_await standins::sleepMillis(fallsSilent ? aPlan.silenceMs : aPlan.pauseMs);
  }
  if (!open) {
    ++mCancelled;
    co_return false;
  }
  if (!chunked) {
    co_return false;
  }
  co_return co_await writeText(aSocket, "0\r\n\r\n");
}

}
