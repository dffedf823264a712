#pragma once

#include "mustardplank/pool/messages.hpp"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mustardplank::pool {

/// Send a message to one instance, possibly this one.
struct SendTo
{
  InstanceId to;
  Message message;
};

/// Send a message to the owner of the same pool in every other failure domain.
struct SendToOtherOwners
{
  PoolId pool;
  Message message;
};

/// Send a message to every reachable instance, this one included.
struct Broadcast
{
  Message message;
};

/// Open a stream for a request on a backend server.
struct StartStream
{
  RequestId id;
  std::uint32_t attempt = 0;
  Epoch epoch = 0;
  BackendServerId server;
  std::string address;
};

/// Stop the stream of a request. The user of PoolClient then resubmits the request together with
/// the output received so far.
struct StopStream
{
  RequestId id;
  std::uint32_t attempt = 0;
};

/// Answer the caller with an error. This attempt of the request has not run.
struct RefuseRequest
{
  RequestId id;
  ErrorCode code = ErrorCode::Overloaded;
  Duration retryAfter{};
};

/// Write one log line with its fields in the given order.
struct WriteLog
{
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

using Effect = std::
  variant<SendTo, SendToOtherOwners, Broadcast, StartStream, StopStream, RefuseRequest, WriteLog>;
using Effects = std::vector<Effect>;

}
