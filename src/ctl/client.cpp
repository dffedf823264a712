#include "client.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace mustardplank::ctl {

namespace {

using Clock = std::chrono::system_clock;

/// Longer than an instance waits for the log, so that its own answer arrives.
constexpr Millis kAttemptTimeout(12'000);
constexpr Millis kFirstPause(200);
constexpr Millis kLongestPause(2'000);

bool
isWorthRepeating(grpc::StatusCode aCode)
{
  return aCode == grpc::StatusCode::UNAVAILABLE || aCode == grpc::StatusCode::DEADLINE_EXCEEDED ||
         aCode == grpc::StatusCode::RESOURCE_EXHAUSTED;
}

std::shared_ptr<grpc::Channel>
makeChannel(const std::string& aServer)
{
  grpc::ChannelArguments arguments;
  // The address is the one given; no proxy from the environment, no configuration from DNS.
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  // The repeats here are the only ones.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(kFirstPause.count()));
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(kFirstPause.count()));
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(kLongestPause.count()));
  return grpc::CreateCustomChannel(
    "ipv4:" + aServer, grpc::InsecureChannelCredentials(), arguments);
}

}

Client::Client(ClientOptions aOptions, std::ostream& aNotes)
  : mOptions(std::move(aOptions))
  , mNotes(aNotes)
{
  for (const auto& it : mOptions.servers) {
    mConnections.push_back({ it, makeChannel(it) });
  }
}

grpc::Status
Client::repeat(const Attempt& aAttempt)
{
  const auto end = Clock::now() + mOptions.timeout;
  auto pause = kFirstPause;
  std::string noted;
  for (std::size_t i = 0;; ++i) {
    const auto& connection = mConnections[i % mConnections.size()];
    grpc::ClientContext context;
    authorize(context);
    context.set_deadline(std::min(end, Clock::now() + kAttemptTimeout));
    const auto status = aAttempt(connection, context);
    if (status.ok() || !isWorthRepeating(status.error_code()) || Clock::now() + pause >= end) {
      return status;
    }
    const auto note = connection.server + ": " + status.error_message();
    if (note != noted) {
      mNotes << "mustardplankctl: " << note << "; repeating the same call\n" << std::flush;
      noted = note;
    }
    // Only after a round over all instances, as the next one may answer at once.
    if ((i + 1) % mConnections.size() == 0) {
      std::this_thread::sleep_for(pause);
      pause = std::min(2 * pause, kLongestPause);
    }
  }
}

void
Client::authorize(grpc::ClientContext& aContext) const
{
  aContext.AddMetadata("authorization", "Bearer " + mOptions.token);
}

CtlError
Client::toError(const grpc::Status& aStatus) const
{
  switch (aStatus.error_code()) {
    case grpc::StatusCode::ABORTED:
      return { ExitCode::Conflict, aStatus.error_message() };
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return { ExitCode::Unreachable, unreachable(aStatus.error_message()) };
    default:
      return { ExitCode::Refused, aStatus.error_message() };
  }
}

std::string
Client::unreachable(const std::string& aLastAnswer) const
{
  std::string servers;
  for (const auto& it : mOptions.servers) {
    servers += (servers.empty() ? "" : ", ") + it;
  }
  return "no success within " + std::to_string(mOptions.timeout.count()) + " ms on " + servers +
         "; check that an instance runs there, or give others with --server\nlast answer: " +
         aLastAnswer;
}

}
