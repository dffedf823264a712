#include "chat_chunk.hpp"

#include "mustardplank/base/json_depth.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardplank::traffic {

namespace {

using nlohmann::json;

/// Engines built on vLLM put this before the request id.
constexpr std::string_view kIdPrefix = "chatcmpl-";

std::string
escaped(const std::string& aText)
{
  const std::string quoted = json(aText).dump();
  return quoted.substr(1, quoted.size() - 2);
}

/// Whether aText may stand between the quotes of a JSON string.
bool
isStringContent(std::string_view aText)
{
  const bool plain = std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return aByte >= 0x20 && aByte < 0x80 && aByte != '"' && aByte != '\\';
  });
  if (plain) {
    return true;
  }
  std::string quoted;
  quoted.reserve(aText.size() + 2);
  quoted.append(1, '"').append(aText).append(1, '"');
  return json::accept(quoted);
}

std::string
idProblem(const json& aChunk, const std::string& aRequestId)
{
  const auto id = aChunk.find("id");
  if (id == aChunk.end() || !id->is_string()) {
    return "a chunk has no id";
  }
  std::string_view value = id->get_ref<const std::string&>();
  if (value.starts_with(kIdPrefix)) {
    value.remove_prefix(kIdPrefix.size());
  }
  return value == aRequestId ? "" : "a chunk belongs to another request";
}

std::string
readDelta(const json& aChoice, ChatChunk& aChunk, std::string& aText)
{
  const auto delta = aChoice.find("delta");
  if (delta == aChoice.end()) {
    return "";
  }
  if (!delta->is_object()) {
    return "a chunk's delta is no object";
  }
  for (const auto& [name, value] : delta->items()) {
    if (name == "content" && value.is_string()) {
      aText = escaped(value.get_ref<const std::string&>());
      aChunk.escapedText = aText;
    } else if (name != "role" && !value.is_null()) {
      aChunk.hasOther = true;
    }
  }
  return "";
}

std::string
readChoices(const json& aBody, ChatChunk& aChunk, std::string& aText)
{
  const auto choices = aBody.find("choices");
  if (choices == aBody.end() || !choices->is_array()) {
    return "a chunk has no choices";
  }
  if (choices->empty()) {
    return "";
  }
  const auto& choice = choices->front();
  if (choices->size() > 1 || !choice.is_object()) {
    return "a chunk has other than one choice";
  }
  aChunk.hasChoice = true;
  const auto reason = choice.find("finish_reason");
  if (reason != choice.end() && reason->is_string()) {
    aChunk.finishReason = reason->get<std::string>();
  }
  return readDelta(choice, aChunk, aText);
}

std::uint64_t
count(const json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  return it != aObject.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

void
readUsage(const json& aBody, ChatChunk& aChunk)
{
  const auto usage = aBody.find("usage");
  if (usage == aBody.end() || !usage->is_object()) {
    return;
  }
  aChunk.hasUsage = true;
  aChunk.promptTokens = count(*usage, "prompt_tokens");
  aChunk.completionTokens = count(*usage, "completion_tokens");
}

}

ChatChunkReader::ChatChunkReader(std::string aRequestId)
  : mRequestId(std::move(aRequestId))
{
}

ChatChunk
ChatChunkReader::read(std::string_view aPayload)
{
  ChatChunk chunk;
  if (readByTemplate(aPayload, chunk)) {
    return chunk;
  }
  return parse(aPayload);
}

bool
ChatChunkReader::readByTemplate(std::string_view aPayload, ChatChunk& aChunk) const
{
  const std::size_t around = mBefore.size() + mAfter.size();
  if (mBefore.empty() || aPayload.size() <= around || !aPayload.starts_with(mBefore) ||
      !aPayload.ends_with(mAfter)) {
    return false;
  }
  const auto text = aPayload.substr(mBefore.size(), aPayload.size() - around);
  if (!isStringContent(text)) {
    return false;
  }
  aChunk.escapedText = text;
  aChunk.hasChoice = true;
  return true;
}

ChatChunk
ChatChunkReader::parse(std::string_view aPayload)
{
  ChatChunk chunk;
  if (isDeeperThan(aPayload, kMaxJsonDepth)) {
    chunk.problem = "a chunk is nested too deeply";
    return chunk;
  }
  const json body = json::parse(aPayload, nullptr, false);
  if (!body.is_object()) {
    chunk.problem = "a chunk is no JSON object";
    return chunk;
  }
  if (body.contains("error")) {
    chunk.problem = "the backend server reported an error";
    return chunk;
  }
  chunk.problem = idProblem(body, mRequestId);
  if (chunk.problem.empty()) {
    chunk.problem = readChoices(body, chunk, mText);
  }
  readUsage(body, chunk);
  const bool textOnly = chunk.problem.empty() && !chunk.escapedText.empty() && !chunk.hasOther &&
                        chunk.finishReason.empty() && !chunk.hasUsage;
  if (textOnly) {
    learnTemplate(aPayload, chunk.escapedText);
  }
  return chunk;
}

void
ChatChunkReader::learnTemplate(std::string_view aPayload, std::string_view aEscaped)
{
  std::string quoted;
  quoted.append(1, '"').append(aEscaped).append(1, '"');
  const std::size_t at = aPayload.rfind(quoted);
  if (at == std::string_view::npos) {
    return;
  }
  const std::string before(aPayload.substr(0, at + 1));
  const std::string after(aPayload.substr(at + 1 + aEscaped.size()));
  // The same text may stand elsewhere in the chunk: another text at this place must change the
  // delta and nothing else.
  static constexpr std::string_view kProbe = "template probe";
  json expected = json::parse(aPayload, nullptr, false);
  expected["choices"][0]["delta"]["content"] = kProbe;
  const json probed = json::parse(before + std::string(kProbe) + after, nullptr, false);
  if (probed == expected) {
    mBefore = before;
    mAfter = after;
  }
}

}
