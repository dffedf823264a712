#pragma once

#include <string>
#include <vector>

namespace mustardplank::agent {

struct Datagram
{
  /// "ip:port".
  std::string address;
  std::string bytes;
};

/// Addresses, "ip:port", of the instances with which an instance exchanges datagrams.
struct Neighbours
{
  std::vector<std::string> agents;
  /// The instances of the failure domain that report to this agent and are none.
  std::vector<std::string> members;
};

}
