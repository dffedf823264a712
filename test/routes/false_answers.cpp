#include "false_answers.hpp"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace mustardplank::routes {

namespace asio = boost::asio;

namespace {

using At = FalseAnswer::At;
using Framing = FalseAnswer::Framing;
using Part = FalseAnswer::Part;
using End = FalseAnswer::End;
using Verdict = FalseAnswer::Verdict;

constexpr std::size_t kLargeBody = 6UL * 1024 * 1024;
constexpr int kEvents = 3;
/// A reset discards what the peer has not read; this long after the response it has read it.
constexpr int kBeforeResetMs = 40;
constexpr int kBeforeReadingOnMs = 300;
constexpr int kBeforeSurplusMs = 5;
/// Longer than a server's kernel may refuse data before the gateway's gives up (3 s).
constexpr int kLongBeforeReadingOnMs = 4500;
constexpr auto kUse = asio::as_tuple(asio::use_awaitable);

std::string
chunkOf(const std::string& aBytes)
{
  std::array<char, 20> buf{};
  const auto n = std::snprintf(buf.data(), buf.size(), "%zx\r\n", aBytes.size());
  return std::string(buf.data(), static_cast<std::size_t>(n)) + aBytes + "\r\n";
}

const char*
nameOf(Framing aFraming)
{
  static constexpr std::array<const char*, 3> kNames = { "open", "length", "chunked" };
  return kNames.at(static_cast<std::size_t>(aFraming));
}

const char*
nameOf(Part aPart)
{
  static constexpr std::array<const char*, 4> kNames = { "half_head", "head", "half", "whole" };
  return kNames.at(static_cast<std::size_t>(aPart));
}

const char*
nameOf(End aEnd)
{
  static constexpr std::array<const char*, 5> kNames = {
    "close", "shutdown", "reset", "half_close", "read_on"
  };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

void
addEnds(std::vector<FalseAnswer>& aAnswers)
{
  for (const auto framing : { Framing::None, Framing::Length, Framing::Chunked }) {
    for (const auto part : { Part::HalfHead, Part::Head, Part::HalfBody, Part::Whole }) {
      for (const auto at : { At::RequestHead, At::WholeRequest }) {
        for (const auto end : { End::Close, End::ShutdownAndClose, End::Reset, End::HalfClose }) {
          FalseAnswer answer;
          answer.group = "end";
          answer.name = std::string(nameOf(framing)) + "_" + nameOf(part) + "_" + nameOf(end) +
                        (at == At::RequestHead ? "_early" : "");
          answer.at = at;
          answer.framing = framing;
          answer.part = part;
          answer.end = end;
          // A reset may arrive before the bytes are read.
          answer.verdict = part == Part::Whole ? Verdict::Either : Verdict::Failed;
          aAnswers.push_back(std::move(answer));
        }
      }
    }
  }
  for (const auto framing : { Framing::Length, Framing::Chunked }) {
    FalseAnswer answer;
    answer.group = "early";
    answer.name = std::string(nameOf(framing)) + "_early_read_on";
    answer.at = At::RequestHead;
    answer.framing = framing;
    aAnswers.push_back(answer);
    answer.group = "late";
    answer.name += "_late";
    aAnswers.push_back(std::move(answer));
  }
}

void
addStatusLines(std::vector<FalseAnswer>& aAnswers)
{
  static const std::pair<const char*, const char*> kLines[] = {
    { "000", "HTTP/1.1 000 X" },
    { "099", "HTTP/1.1 099 X" },
    { "600", "HTTP/1.1 600 X" },
    { "999", "HTTP/1.1 999 X" },
    { "101", "HTTP/1.1 101 X" },
    { "two_digits", "HTTP/1.1 99 X" },
    { "four_digits", "HTTP/1.1 2000 X" },
    { "letters", "HTTP/1.1 2x0 X" },
    { "negative", "HTTP/1.1 -20 X" },
    { "two_spaces", "HTTP/1.1  200 X" },
    { "http_2_0", "HTTP/2.0 200 X" },
    { "http_1_2", "HTTP/1.2 200 X" },
    { "other_protocol", "ICY 200 X" },
    { "lower_case", "http/1.1 200 X" },
    { "control_in_reason", "HTTP/1.1 200 \x01" },
  };
  for (const auto& [name, line] : kLines) {
    FalseAnswer answer;
    answer.group = "status";
    answer.name = std::string("status_") + name;
    answer.statusLine = line;
    answer.verdict = Verdict::Failed;
    aAnswers.push_back(std::move(answer));
  }
}

void
addInterimResponses(std::vector<FalseAnswer>& aAnswers)
{
  const std::string hints = "HTTP/1.1 103 X\r\nLink: x\r\n\r\n";
  const std::string smuggled = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                               "X-Attempt-Id: ATTEMPT\r\nContent-Length: 1\r\n\r\nx";
  const std::string length = std::to_string(smuggled.size());
  const std::tuple<const char*, std::string, Verdict> kPrefixes[] = {
    { "100", "HTTP/1.1 100 Continue\r\n\r\n", Verdict::Complete },
    { "103", hints, Verdict::Complete },
    { "103_five", hints + hints + hints + hints + hints, Verdict::Complete },
    { "199", "HTTP/1.1 199 X\r\n\r\n", Verdict::Complete },
    { "101_then_answer",
      "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
      Verdict::Failed },
    { "with_length",
      "HTTP/1.1 103 X\r\nContent-Length: " + length + "\r\n\r\n" + smuggled,
      Verdict::Failed },
    { "chunked",
      "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf(smuggled) + "0\r\n\r\n",
      Verdict::Failed },
    { "with_body", "HTTP/1.1 103 X\r\n\r\nbody", Verdict::Failed },
  };
  for (const auto& [name, prefix, verdict] : kPrefixes) {
    for (const auto at : { At::WholeRequest, At::RequestHead }) {
      FalseAnswer answer;
      answer.group = "interim";
      answer.name = std::string("interim_") + name + (at == At::RequestHead ? "_early" : "");
      answer.at = at;
      answer.prefix = prefix;
      answer.verdict = verdict;
      aAnswers.push_back(std::move(answer));
    }
  }
}

void
addFramingFields(std::vector<FalseAnswer>& aAnswers)
{
  struct Case
  {
    const char* name;
    std::string fields;
    Verdict verdict = Verdict::Failed;
    Framing framing = Framing::Length;
    End end = End::ReadOn;
    const char* statusLine = "HTTP/1.1 200 OK";
  };
  const std::string length = "Content-Length: LENGTH\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const Case kCases[] = {
    { "length_twice", length + length, Verdict::Complete },
    { "lengths_differ", length + "Content-Length: 3\r\n" },
    { "length_list_differs", "Content-Length: LENGTH, 3\r\n" },
    { "length_negative", "Content-Length: -1\r\n" },
    { "length_plus", "Content-Length: +LENGTH\r\n" },
    { "length_hex", "Content-Length: 0x4\r\n" },
    { "length_empty", "Content-Length:\r\n" },
    { "length_overflow", "Content-Length: 99999999999999999999\r\n" },
    { "length_with_space", "Content-Length : LENGTH\r\n" },
    { "length_and_chunked", length + chunked },
    { "chunked_and_length", chunked + length, Verdict::Failed, Framing::Chunked },
    { "length_and_identity", length + "Transfer-Encoding: identity\r\n" },
    { "identity_and_length", "Transfer-Encoding: identity\r\n" + length },
    { "gzip", "Transfer-Encoding: gzip\r\n", Verdict::Failed, Framing::None, End::HalfClose },
    { "gzip_chunked", "Transfer-Encoding: gzip, chunked\r\n", Verdict::Failed, Framing::Chunked },
    { "gzip_and_chunked",
      "Transfer-Encoding: gzip\r\n" + chunked,
      Verdict::Failed,
      Framing::Chunked },
    { "chunked_gzip",
      "Transfer-Encoding: chunked, gzip\r\n",
      Verdict::Failed,
      Framing::Chunked,
      End::HalfClose },
    { "chunked_twice", chunked + chunked, Verdict::Failed, Framing::Chunked },
    { "chunked_upper_case", "Transfer-Encoding: CHUNKED\r\n", Verdict::Complete, Framing::Chunked },
    { "http_1_0_chunked",
      chunked,
      Verdict::Failed,
      Framing::Chunked,
      End::HalfClose,
      "HTTP/1.0 200 OK" },
    { "http_1_0_length",
      length,
      Verdict::Complete,
      Framing::Length,
      End::Close,
      "HTTP/1.0 200 OK" },
    { "204_with_length", length, Verdict::Failed, Framing::Length, End::ReadOn, "HTTP/1.1 204 X" },
    { "204_chunked", chunked, Verdict::Failed, Framing::Chunked, End::ReadOn, "HTTP/1.1 204 X" },
    { "name_empty", ": x\r\n" + length },
    { "name_with_space", "X Y: x\r\n" + length },
    { "name_with_control", "X\x01Y: x\r\n" + length },
    { "line_without_colon", "X-Nothing\r\n" + length },
    { "line_ends_with_lf", "X-Line: x\n" + length },
    { "cr_in_value", "X-Line: x\ry\r\n" + length },
    { "nul_in_value", std::string("X-Line: x\0y\r\n", 13) + length },
    { "folded_value", "X-Line: x\r\n y\r\n" + length, Verdict::Either },
  };
  for (const auto& it : kCases) {
    FalseAnswer answer;
    answer.group = "framing";
    answer.name = std::string("framing_") + it.name;
    answer.framingFields = it.fields;
    answer.framing = it.framing;
    answer.end = it.end;
    answer.verdict = it.verdict;
    answer.statusLine = it.statusLine;
    aAnswers.push_back(std::move(answer));
  }
  static const std::pair<const char*, const char*> kBodies[] = {
    { "size_letters", "zz\r\nanswer\r\n0\r\n\r\n" },
    { "size_negative", "-6\r\nanswer\r\n0\r\n\r\n" },
    { "size_missing", "\r\nanswer\r\n0\r\n\r\n" },
    { "size_overflow", "fffffffffffffffff\r\nanswer\r\n0\r\n\r\n" },
    { "data_too_long", "4\r\nanswer\r\n0\r\n\r\n" },
    { "end_without_line", "6\r\nanswer0\r\n\r\n" },
  };
  for (const auto& [name, body] : kBodies) {
    FalseAnswer answer;
    answer.group = "framing";
    answer.name = std::string("chunk_") + name;
    answer.framing = Framing::Chunked;
    answer.framedBody = body;
    answer.verdict = Verdict::Failed;
    aAnswers.push_back(std::move(answer));
  }
}

/// The end of an empty chunked body arrives in two pieces.
FalseAnswer
emptyBodyInPieces()
{
  FalseAnswer answer;
  answer.group = "pieces";
  answer.name = "empty_chunked_end_in_pieces";
  answer.framing = Framing::Chunked;
  answer.isEmpty = true;
  answer.framedBody = "0\r\n";
  answer.surplus = "\r\n";
  return answer;
}

void
addIdentities(std::vector<FalseAnswer>& aAnswers)
{
  const std::string own = "X-Attempt-Id: ATTEMPT\r\n";
  const std::string other = "X-Attempt-Id: other\r\n";
  const std::string signature = "X-Response-Signature: sig\r\n";
  const std::tuple<const char*, std::string, std::string, Verdict> kCases[] = {
    { "signature_in_trailer", own, signature, Verdict::Failed },
    { "not_run_in_trailer", own + signature, "X-Not-Executed: 1\r\n", Verdict::Complete },
    { "other_attempt_in_trailer", own + signature, other, Verdict::Complete },
    { "encoding_in_trailer", own + signature, "Content-Encoding: gzip\r\n", Verdict::Complete },
    { "own_and_other_attempt", own + other + signature, "", Verdict::Failed },
    { "other_and_own_attempt", other + own + signature, "", Verdict::Failed },
    { "own_attempt_twice", own + own + signature, "", Verdict::Complete },
  };
  for (const auto& [name, identity, trailer, verdict] : kCases) {
    FalseAnswer answer;
    answer.group = "identity";
    answer.name = std::string("identity_") + name;
    answer.framing = Framing::Chunked;
    answer.identity = identity;
    answer.trailer = trailer;
    answer.verdict = verdict;
    aAnswers.push_back(std::move(answer));
  }
  FalseAnswer answer;
  answer.group = "identity";
  answer.name = "identity_surplus_later";
  answer.surplus = "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 7\r\n\r\nsurplus";
  aAnswers.push_back(std::move(answer));
}

/// A response without a length ends with its connection; only a clean end after the whole request
/// shows that it is complete.
Verdict
openVerdict(const FalseAnswer& aAnswer, const RequestForm& aForm)
{
  const bool isTorn = aAnswer.part != Part::Whole;
  if (aAnswer.part == Part::HalfHead || aAnswer.end == End::Reset || (aForm.isStream && isTorn)) {
    return Verdict::Failed;
  }
  if (aAnswer.at == At::WholeRequest) {
    return Verdict::Complete;
  }
  if (aForm.isLarge()) {
    return Verdict::Failed;
  }
  // The whole request may have arrived with its head.
  return Verdict::Either;
}

}

std::string
RequestForm::body(const std::string& aAttempt) const
{
  if (bodyBytes == 0) {
    return {};
  }
  auto text = "body of " + aAttempt;
  text.resize(std::max(bodyBytes, text.size()), 'x');
  return text;
}

const std::vector<RequestForm>&
requestForms()
{
  static const std::vector<RequestForm> kForms = {
    { "once", "/plain/", "POST", 100 },
    { "once_large", "/plain/", "POST", kLargeBody },
    { "once_no_body", "/plain/", "GET", 0 },
    { "twice", "/twice/", "POST", 100, false, true },
    { "twice_large", "/twice/", "POST", kLargeBody, false, true },
    { "stream", "/events/", "POST", 100, true },
    { "stream_large", "/events/", "POST", kLargeBody, true },
    { "resumable", "/resume/", "POST", 100, true, true },
  };
  return kForms;
}

std::string
soundBody(const std::string& aAttempt, bool aIsStream)
{
  if (!aIsStream) {
    return "answer to " + aAttempt;
  }
  std::string text;
  for (int i = 1; i <= kEvents; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
  }
  return text;
}

std::string
FalseAnswer::sentBody(const std::string& aAttempt, bool aIsStream) const
{
  if (isEmpty) {
    return {};
  }
  if (part == Part::HalfHead || part == Part::Head) {
    return {};
  }
  const auto whole = soundBody(aAttempt, aIsStream);
  return part == Part::Whole ? whole : whole.substr(0, whole.size() / 2);
}

std::string
FalseAnswer::text(const std::string& aAttempt, bool aIsStream) const
{
  const auto whole = soundBody(aAttempt, aIsStream);
  auto fields =
    framingFields.value_or(framing == Framing::Length    ? "Content-Length: LENGTH\r\n"
                           : framing == Framing::Chunked ? "Transfer-Encoding: chunked\r\n"
                                                         : "");
  boost::algorithm::replace_all(fields, "LENGTH", std::to_string(whole.size()));
  auto head = prefix + statusLine + "\r\n" + identity +
              (aIsStream ? "Content-Type: text/event-stream\r\n" : "") + fields + "\r\n";
  boost::algorithm::replace_all(head, "ATTEMPT", aAttempt);
  if (part == Part::HalfHead) {
    return head.substr(0, head.size() / 2);
  }
  if (part == Part::Head) {
    return head;
  }
  if (framedBody) {
    return head + *framedBody;
  }
  auto body = sentBody(aAttempt, aIsStream);
  if (framing == Framing::Chunked) {
    body = chunkOf(body) + (part == Part::Whole ? "0\r\n" + trailer + "\r\n" : "");
  }
  return head + body;
}

const std::vector<FalseAnswer>&
falseAnswers()
{
  static const auto kAnswers = [] {
    std::vector<FalseAnswer> answers;
    addEnds(answers);
    addStatusLines(answers);
    addInterimResponses(answers);
    addFramingFields(answers);
    addIdentities(answers);
    answers.push_back(emptyBodyInPieces());
    return answers;
  }();
  return kAnswers;
}

const FalseAnswer*
falseAnswerOf(const std::string& aMode)
{
  const std::string prefix = "false_";
  if (!aMode.starts_with(prefix)) {
    return nullptr;
  }
  const auto& all = falseAnswers();
  const auto it = std::find_if(all.begin(), all.end(), [&](const auto& aAnswer) {
    return aMode.compare(prefix.size(), std::string::npos, aAnswer.name) == 0;
  });
  return it == all.end() ? nullptr : &*it;
}

std::string
pathOf(const RequestForm& aForm, const FalseAnswer& aAnswer)
{
  const auto path = aForm.route + "false_" + aAnswer.name;
  return aForm.isRepeatable ? path + (aForm.isStream ? "+stream3" : "+ok") : path;
}

std::string
misfitOf(const RequestForm& aForm,
         const FalseAnswer& aAnswer,
         const std::string& aAttempt,
         const Outcome& aOutcome)
{
  const auto verdict = aAnswer.group == "end" && aAnswer.framing == Framing::None
                         ? openVerdict(aAnswer, aForm)
                         : aAnswer.verdict;
  const auto sent = aAnswer.sentBody(aAttempt, aForm.isStream);
  const bool isSent = aOutcome.status == 200 && aOutcome.body == sent;
  const bool isSound =
    aOutcome.status == 200 && aOutcome.body == soundBody(aAttempt, aForm.isStream);
  // The response to a caller who has got a part of it ends visibly incomplete.
  const bool isFailure = aOutcome.status == 502 || (aOutcome.status == 0 && aForm.isStream);
  bool allowed = false;
  switch (verdict) {
    case Verdict::Complete:
      allowed = isSent || (aForm.isRepeatable && isSound);
      break;
    case Verdict::Failed:
      allowed = isFailure || (aForm.isRepeatable && isSound);
      break;
    case Verdict::Either:
      allowed = isSent || isFailure || (aForm.isRepeatable && isSound);
      break;
  }
  if (allowed) {
    return {};
  }
  static constexpr std::array<const char*, 3> kVerdicts = { "complete", "failed", "either" };
  return "allowed " + std::string(kVerdicts.at(static_cast<std::size_t>(verdict))) + ", seen " +
         std::to_string(aOutcome.status) + " with " + std::to_string(aOutcome.body.size()) +
         " bytes";
}

standins::Awaitable<bool>
writeFalseAnswer(standins::SocketPtr aSocket,
                 FalseAnswer aAnswer,
                 std::string aAttempt,
                 bool aIsStream)
{
  const auto text = aAnswer.text(aAttempt, aIsStream);
  co_await asio::async_write(*aSocket, asio::buffer(text), kUse);
  boost::system::error_code ec;
  switch (aAnswer.end) {
    case End::ReadOn:
      if (aAnswer.at == At::RequestHead) {
        co_await standins::sleepMillis(aAnswer.group == "late" ? kLongBeforeReadingOnMs
                                                               : kBeforeReadingOnMs);
      }
      if (!aAnswer.surplus.empty()) {
        co_await standins::sleepMillis(kBeforeSurplusMs);
        co_await asio::async_write(*aSocket, asio::buffer(aAnswer.surplus), kUse);
      }
      co_return true;
    case End::Close:
      aSocket->close(ec);
      co_return false;
    case End::ShutdownAndClose:
      aSocket->shutdown(standins::Tcp::socket::shutdown_send, ec);
      aSocket->close(ec);
      co_return false;
    case End::Reset:
      co_await standins::sleepMillis(kBeforeResetMs);
      aSocket->set_option(asio::socket_base::linger(true, 0), ec);
      aSocket->close(ec);
      co_return false;
    case End::HalfClose:
      break;
  }
  aSocket->shutdown(standins::Tcp::socket::shutdown_send, ec);
  std::vector<char> buf(64UL * 1024);
  for (bool open = true; open;) {
    const auto [error, n] = co_await aSocket->async_read_some(asio::buffer(buf), kUse);
    open = !error;
  }
  co_return false;
}

}
