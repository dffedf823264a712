#include "chat_request.hpp"

#include "mustardplank/base/json_depth.hpp"
#include "mustardplank/base/prefix_hash.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>

namespace mustardplank::traffic {

namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
/// Longer prompts are told apart by their first 16 KiB only; bounds the size of a permit request.
constexpr std::size_t kMaxPrefixBlocks = 64;

Refusal
invalid(std::string aMessage)
{
  return notRun(ErrorCode::InvalidRequest, std::move(aMessage));
}

/// Appends the text of one message's content, which is a string or a list of parts.
std::optional<Refusal>
appendContent(const json& aContent, const std::string& aPlace, std::string& aText)
{
  if (aContent.is_null()) {
    return std::nullopt;
  }
  if (aContent.is_string()) {
    aText += aContent.get_ref<const std::string&>();
    return std::nullopt;
  }
  if (!aContent.is_array()) {
    return invalid(aPlace + " must be a string or a list of parts");
  }
  for (const auto& part : aContent) {
    if (!part.is_object()) {
      return invalid(aPlace + " has a part that is no object");
    }
    const auto text = part.find("text");
    if (text != part.end() && text->is_string()) {
      aText += text->get_ref<const std::string&>();
    }
  }
  return std::nullopt;
}

std::optional<Refusal>
appendMessages(const json& aBody, std::string& aPrompt)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return invalid("messages must be a list with at least one message");
  }
  std::size_t n = 0;
  for (const auto& message : *messages) {
    const std::string place = "messages[" + std::to_string(n++) + "]";
    if (!message.is_object()) {
      return invalid(place + " must be an object");
    }
    const auto role = message.find("role");
    if (role == message.end() || !role->is_string()) {
      return invalid(place + ".role must be a string");
    }
    const auto content = message.find("content");
    if (content == message.end()) {
      return invalid(place + ".content is missing");
    }
    std::string text;
    if (auto refusal = appendContent(*content, place + ".content", text)) {
      return refusal;
    }
    appendPromptMessage(aPrompt, role->get_ref<const std::string&>(), text);
  }
  return std::nullopt;
}

std::optional<Refusal>
readFlag(const json& aObject, const char* aName, const std::string& aPlace, bool& aFlag)
{
  const auto it = aObject.find(aName);
  if (it == aObject.end() || it->is_null()) {
    return std::nullopt;
  }
  if (!it->is_boolean()) {
    return invalid(aPlace + " must be true or false");
  }
  aFlag = it->get<bool>();
  return std::nullopt;
}

std::optional<Refusal>
readMaxTokens(const json& aBody, const char* aName, std::uint32_t& aMaxTokens)
{
  const auto it = aBody.find(aName);
  if (it == aBody.end() || it->is_null()) {
    return std::nullopt;
  }
  if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0 ||
      it->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
    return invalid(std::string(aName) + " must be a whole number above 0");
  }
  aMaxTokens = it->get<std::uint32_t>();
  return std::nullopt;
}

std::optional<Refusal>
readFields(const json& aBody, ChatRequest& aRequest)
{
  const auto model = aBody.find("model");
  if (model == aBody.end() || !model->is_string() || model->get_ref<const std::string&>().empty()) {
    return invalid("model must be a string that names a model");
  }
  aRequest.model = model->get<std::string>();
  if (auto refusal = readFlag(aBody, "stream", "stream", aRequest.stream)) {
    return refusal;
  }
  const auto options = aBody.find("stream_options");
  if (options != aBody.end() && !options->is_null()) {
    if (!options->is_object()) {
      return invalid("stream_options must be an object");
    }
    if (auto refusal = readFlag(
          *options, "include_usage", "stream_options.include_usage", aRequest.includeUsage)) {
      return refusal;
    }
  }
  for (const char* name : { "max_tokens", "max_completion_tokens" }) {
    if (auto refusal = readMaxTokens(aBody, name, aRequest.maxTokens)) {
      return refusal;
    }
  }
  const auto n = aBody.find("n");
  if (n != aBody.end() && !n->is_null() && *n != 1) {
    return invalid("n must be 1: one answer for each request");
  }
  return std::nullopt;
}

std::string
invalidJsonMessage(const json::parse_error& aError)
{
  // The library's text names its internals; only the position helps a caller.
  return "the body is no valid JSON: unexpected input at byte " + std::to_string(aError.byte);
}

}

std::variant<ChatRequest, Refusal>
parseChatRequest(std::string_view aBody)
{
  if (isDeeperThan(aBody, kMaxJsonDepth)) {
    return notRun(ErrorCode::InvalidJson,
                  "the body is nested deeper than " + std::to_string(kMaxJsonDepth) + " levels");
  }
  json body;
  try {
    body = json::parse(aBody);
  } catch (const json::parse_error& error) {
    return notRun(ErrorCode::InvalidJson, invalidJsonMessage(error));
  }
  if (!body.is_object()) {
    return invalid("the body must be a JSON object");
  }
  ChatRequest request;
  if (auto refusal = readFields(body, request)) {
    return *refusal;
  }
  std::string prompt;
  if (auto refusal = appendMessages(body, prompt)) {
    return *refusal;
  }
  request.promptTokens = static_cast<std::uint32_t>(prompt.size() / kBytesPerToken);
  request.prefixHashes =
    prefixHashes(std::string_view(prompt).substr(0, kMaxPrefixBlocks * kPrefixBlockBytes));
  // Only this daemon resumes; a caller's own field would skip tokens unpaid.
  body.erase("resume");
  body["stream"] = true;
  body["stream_options"] = { { "include_usage", true } };
  request.backendBody = body.dump();
  return request;
}

std::string
resumeBody(std::string_view aBackendBody, std::uint32_t aTokens, std::string_view aEscapedText)
{
  std::string body;
  body.reserve(aBackendBody.size() + aEscapedText.size() + 48);
  body.append(aBackendBody.substr(0, aBackendBody.size() - 1));
  body.append(",\"resume\":{\"tokens\":").append(std::to_string(aTokens));
  body.append(",\"text\":\"").append(aEscapedText).append("\"}}");
  return body;
}

}
