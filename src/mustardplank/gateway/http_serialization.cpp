#include "http_serialization.hpp"

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <cstdio>
#include <vector>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

void
removeHopByHopFields(Fields& aFields)
{
  std::vector<std::string> named;
  for (const auto& it : http::token_list(aFields[http::field::connection])) {
    named.emplace_back(it);
  }
  for (const auto& it : named) {
    aFields.erase(it);
  }
  for (const auto it : { http::field::connection,
                         http::field::keep_alive,
                         http::field::proxy_connection,
                         http::field::te,
                         http::field::trailer,
                         http::field::transfer_encoding,
                         http::field::upgrade,
                         http::field::content_length,
                         http::field::expect }) {
    aFields.erase(it);
  }
}

void
appendFields(std::string& aText, const Fields& aFields)
{
  for (const auto& it : aFields) {
    const auto name = it.name_string();
    const auto value = it.value();
    aText.append(name.data(), name.size());
    aText += ": ";
    aText.append(value.data(), value.size());
    aText += "\r\n";
  }
}

void
appendStatusLine(std::string& aText, unsigned aStatus)
{
  aText += "HTTP/1.1 ";
  aText += std::to_string(aStatus);
  aText += ' ';
  const auto reason = http::obsolete_reason(http::int_to_status(aStatus));
  aText.append(reason.data(), reason.size());
  aText += "\r\n";
}

void
appendChunk(std::string& aText, std::string_view aBytes)
{
  char buf[20];
  const int n = std::snprintf(buf, sizeof buf, "%zx\r\n", aBytes.size());
  aText.append(buf, static_cast<std::size_t>(n));
  aText.append(aBytes);
  aText += "\r\n";
}

}
