#include "mustardplank/once/records.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/config/fields.hpp"

#include <charconv>
#include <cstdio>

namespace mustardplank::once {

using config::FieldReader;
using config::FieldWriter;
using config::RecordKind;
using nlohmann::json;

namespace {

constexpr std::size_t kHalf = 16;

std::uint64_t
parseHalf(const std::string& aText, std::size_t aFrom)
{
  std::uint64_t value = 0;
  if (aText.size() >= aFrom + kHalf) {
    std::from_chars(aText.data() + aFrom, aText.data() + aFrom + kHalf, value, 16);
  }
  return value;
}

std::string
toHex(const std::string& aBytes)
{
  std::string text;
  char buf[3];
  for (const unsigned char c : aBytes) {
    std::snprintf(buf, sizeof buf, "%02x", c);
    text += buf;
  }
  return text;
}

std::string
fromHex(const std::string& aText)
{
  std::string bytes;
  for (std::size_t i = 0; i + 1 < aText.size(); i += 2) {
    unsigned value = 0;
    std::from_chars(aText.data() + i, aText.data() + i + 2, value, 16);
    bytes += static_cast<char>(value);
  }
  return bytes;
}

/// JSON strings hold only UTF-8.
bool
isUtf8(const std::string& aText)
{
  try {
    static_cast<void>(json(aText).dump());
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

void
writeText(json& aRecord, const std::string& aName, const std::string& aText)
{
  isUtf8(aText) ? void(aRecord[aName] = aText) : void(aRecord[aName + "_hex"] = toHex(aText));
}

std::string
readText(const json& aRecord, const std::string& aName)
{
  if (const auto it = aRecord.find(aName); it != aRecord.end() && it->is_string()) {
    return it->get<std::string>();
  }
  if (const auto it = aRecord.find(aName + "_hex"); it != aRecord.end() && it->is_string()) {
    return fromHex(it->get<std::string>());
  }
  return "";
}

void
readHash(FieldReader& aFields, const char* aName, Hash& aHash)
{
  std::string text;
  aFields.field(aName, text);
  if (text.size() < 2 * kHalf) {
    aFields.report(aName, "has to be a hash in hexadecimal");
    return;
  }
  aHash = Hash::parse(text);
}

}

Hash
Hash::parse(const std::string& aText)
{
  return { parseHalf(aText, 0), parseHalf(aText, kHalf) };
}

std::string
Hash::text() const
{
  char buf[2 * kHalf + 1];
  std::snprintf(buf,
                sizeof buf,
                "%016llx%016llx",
                static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return buf;
}

Hash
keyHash(const OrganisationId& aOrganisation, const std::string& aIdempotencyKey)
{
  return Hash::parse(sha256Hex(aOrganisation.str() + '\0' + aIdempotencyKey));
}

std::string
encode(const IntentRecord& aRecord)
{
  json record = config::startRecord(RecordKind::OnceIntent);
  FieldWriter fields(record);
  fields.field("organisation", aRecord.organisation);
  fields.field("key", aRecord.key.text());
  fields.field("digest", aRecord.digest.text());
  fields.field("instance", aRecord.instance);
  fields.field("incarnation", aRecord.incarnation);
  fields.field("attempt", aRecord.attempt);
  return record.dump();
}

std::string
encode(const OutcomeRecord& aRecord)
{
  json record = config::startRecord(RecordKind::OnceOutcome);
  FieldWriter fields(record);
  fields.field("key", aRecord.key.text());
  fields.field("digest", aRecord.digest.text());
  fields.field("attempt", aRecord.attempt);
  fields.field("intent", aRecord.intent);
  fields.field("execution", aRecord.execution, kExecutionNames);
  if (aRecord.execution == Execution::Known) {
    fields.field("http_status", aRecord.response.httpStatus);
    writeText(record, "content_type", aRecord.response.contentType);
    writeText(record, "body", aRecord.response.body);
  }
  return record.dump();
}

std::optional<IntentRecord>
decodeIntent(const json& aRecord)
{
  IntentRecord record;
  Findings findings;
  FieldReader fields(aRecord, "", findings);
  fields.field("organisation", record.organisation);
  readHash(fields, "key", record.key);
  readHash(fields, "digest", record.digest);
  fields.field("instance", record.instance);
  fields.field("incarnation", record.incarnation);
  fields.field("attempt", record.attempt);
  return findings.empty() ? std::optional(record) : std::nullopt;
}

std::optional<OutcomeRecord>
decodeOutcome(const json& aRecord)
{
  OutcomeRecord record;
  Findings findings;
  FieldReader fields(aRecord, "", findings);
  readHash(fields, "key", record.key);
  readHash(fields, "digest", record.digest);
  fields.field("attempt", record.attempt);
  fields.field("intent", record.intent);
  fields.field("execution", record.execution, kExecutionNames);
  fields.field("http_status", record.response.httpStatus);
  record.response.contentType = readText(aRecord, "content_type");
  record.response.body = readText(aRecord, "body");
  return findings.empty() ? std::optional(record) : std::nullopt;
}

}
