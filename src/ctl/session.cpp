#include "session.hpp"

#include "option_reader.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/settings/parse.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace mustardplank::ctl {

namespace {

constexpr std::size_t kOperationIdBytes = 16;
constexpr double kMaxTimeoutSeconds = 3600;

std::string
fromEnvironment(const Environment& aEnvironment, const std::string& aName)
{
  const auto it = aEnvironment.find(aName);
  return it == aEnvironment.end() ? "" : it->second;
}

std::string
trimmed(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r\n") - first + 1);
}

std::vector<std::string>
splitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const auto comma = std::min(aText.find(',', start), aText.size());
    parts.push_back(aText.substr(start, comma - start));
    start = comma + 1;
  }
  return parts;
}

void
readServers(const CommandLine& aLine,
            const Environment& aEnvironment,
            ClientOptions& aOptions,
            Findings& aFindings)
{
  const auto text = fromEnvironment(aEnvironment, "MUSTARDPLANK_SERVER");
  if (aLine.has("server")) {
    aOptions.servers = aLine.options.find("server")->second;
  } else if (!text.empty()) {
    aOptions.servers = splitAtCommas(text);
  } else {
    aFindings.add("--server",
                  "missing; give the operators' address of an instance, or set "
                  "MUSTARDPLANK_SERVER");
  }
  for (const auto& it : aOptions.servers) {
    if (!settings::parseAddress(it)) {
      aFindings.add("--server",
                    "\"" + it +
                      "\" is no address; give an IPv4 number and a port, for example "
                      "127.0.0.1:8082");
    }
  }
}

void
readToken(const CommandLine& aLine,
          const Environment& aEnvironment,
          ClientOptions& aOptions,
          Findings& aFindings)
{
  auto file = aLine.value("token-file");
  if (file.empty()) {
    file = fromEnvironment(aEnvironment, "MUSTARDPLANK_TOKEN_FILE");
  }
  if (file.empty()) {
    aOptions.token = trimmed(fromEnvironment(aEnvironment, "MUSTARDPLANK_TOKEN"));
    if (aOptions.token.empty()) {
      aFindings.add("--token-file",
                    "missing; give a file with the operator token, or set MUSTARDPLANK_TOKEN_FILE "
                    "or MUSTARDPLANK_TOKEN");
    }
    return;
  }
  std::ifstream stream(file);
  aOptions.token = trimmed({ std::istreambuf_iterator<char>(stream), {} });
  if (aOptions.token.empty()) {
    aFindings.add("--token-file",
                  "\"" + file +
                    "\" cannot be read or is empty; give a file with the operator token");
  }
}

void
checkToken(const ClientOptions& aOptions, Findings& aFindings)
{
  // gRPC ends the process on metadata with other characters.
  const auto isVisible = [](unsigned char aChar) { return aChar > ' ' && aChar < 0x7f; };
  if (!std::all_of(aOptions.token.begin(), aOptions.token.end(), isVisible)) {
    aFindings.add("operator token", "has spaces or characters other than ASCII; check the file");
  }
}

}

leaf::result<ClientOptions>
connectionOptions(const CommandLine& aLine, const Environment& aEnvironment)
{
  ClientOptions options;
  Findings findings;
  readServers(aLine, aEnvironment, options, findings);
  readToken(aLine, aEnvironment, options, findings);
  checkToken(options, findings);
  OptionReader reader(aLine, findings);
  reader.number("timeout", [&](double aValue) {
    if (aValue > 0 && aValue <= kMaxTimeoutSeconds) {
      options.timeout = Millis(static_cast<std::int64_t>(aValue * 1000));
    } else {
      findings.add("--timeout", "is out of range; give above 0 to 3600 seconds");
    }
  });
  if (!findings.empty()) {
    return leaf::new_error(CtlError{ ExitCode::Usage, trimmed(findings.text()) });
  }
  return options;
}

leaf::result<v1::Mutation>
makeMutation(const CommandLine& aLine)
{
  v1::Mutation mutation;
  mutation.set_operation_id(aLine.value("operation-id", randomHex(kOperationIdBytes)));
  Findings findings;
  OptionReader reader(aLine, findings);
  reader.revision("expected-revision",
                  [&](auto aValue) { mutation.set_expected_revision(aValue); });
  if (!findings.empty()) {
    return leaf::new_error(CtlError{ ExitCode::Usage, trimmed(findings.text()) });
  }
  return mutation;
}

}
