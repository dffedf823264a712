#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardplank::traffic {

/// One chunk of a streamed chat completion.
struct ChatChunk
{
  /// Empty when the chunk is well formed and belongs to the request.
  std::string problem;
  /// Text of the delta as it stands between the quotes of a JSON string; points into the reader or
  /// the payload.
  std::string_view escapedText;
  std::string finishReason;
  bool hasChoice = false;
  /// The delta has more than role and text (a tool call, for example), so that the stream cannot be
  /// resumed from its text.
  bool hasOther = false;
  bool hasUsage = false;
  std::uint64_t promptTokens = 0;
  std::uint64_t completionTokens = 0;
};

/// Checks and reads the chunks of one attempt. Chunks of a stream differ in their text only: the
/// first one is parsed in full and the others are compared with it.
class ChatChunkReader
{
public:
  explicit ChatChunkReader(std::string aRequestId);

  /// The result is valid until the next call and as long as aPayload.
  ChatChunk read(std::string_view aPayload);

private:
  bool readByTemplate(std::string_view aPayload, ChatChunk& aChunk) const;
  ChatChunk parse(std::string_view aPayload);
  void learnTemplate(std::string_view aPayload, std::string_view aEscaped);

  std::string mRequestId;
  /// What stands before and after the text in a chunk that has text only.
  std::string mBefore;
  std::string mAfter;
  std::string mText;
};

}
