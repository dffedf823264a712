#pragma once

#include <string>

namespace mustardplank::agent {

struct Datagram
{
  /// "ip:port".
  std::string address;
  std::string bytes;
};

}
