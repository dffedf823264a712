#pragma once

#include "asio_types.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace mustardplank::traffic {

/// Reads "ip:port"; nothing when it is anything else.
inline std::optional<Tcp::endpoint>
parseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(aAddress.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* end = aAddress.data() + aAddress.size();
  const auto [last, error] = std::from_chars(aAddress.data() + colon + 1, end, port);
  if (ec || error != std::errc() || last != end) {
    return std::nullopt;
  }
  return Tcp::endpoint(ip, port);
}

}
