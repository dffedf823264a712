#include "mustardplank/operator/operator_server.hpp"

#include "calls.hpp"
#include "keys_service.hpp"
#include "object_services.hpp"
#include "operations_service.hpp"

#include "mustardplank/base/log_event.hpp"

#include <google/protobuf/stubs/logging.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace mustardplank::operators {

namespace {

/// The largest valid call, with lists of 256 ids of 64 characters, has some 40 KB.
constexpr int kMaxMessageBytes = 256 * 1024;
/// How long stop() lets calls end before it cancels them.
constexpr Millis kStopGrace(500);

/// Protobuf writes a line to standard error for each string that is not UTF-8, also when the call
/// has no valid token.
void
logProtobuf(google::protobuf::LogLevel, const char*, int, const std::string& aMessage)
{
  LogEvent(LogLevel::Debug, "protobuf.message").field("text", aMessage).write();
}

}

struct OperatorServer::Impl
{
  Impl(OperatorServerOptions aOptions, Sink aSink)
    : options(std::move(aOptions))
    , calls(options, std::move(aSink))
    , organisations(calls)
    , keys(calls)
    , classes(calls)
    , failureDomains(calls)
    , pools(calls)
    , servers(calls)
    , operations(calls)
  {
  }

  void start()
  {
    google::protobuf::SetLogHandler(logProtobuf);
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("operators");
    quota.SetMaxThreads(options.maxThreads);
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    // Without this a second process could listen on the same port and take half of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(
      options.address.text(), grpc::InsecureServerCredentials(), &listeningPort);
    for (grpc::Service* it : std::initializer_list<grpc::Service*>{
           &organisations, &keys, &classes, &failureDomains, &pools, &servers, &operations }) {
      builder.RegisterService(it);
    }
    server = builder.BuildAndStart();
    if (!server || listeningPort == 0) {
      throw std::runtime_error("cannot listen for operators on " + options.address.text() +
                               "; check \"operators\" in the settings and that the port is free");
    }
    LogEvent(LogLevel::Info, "operator.listening").field("port", listeningPort).write();
  }

  void stop()
  {
    if (!server) {
      return;
    }
    calls.stop();
    server->Shutdown(std::chrono::system_clock::now() + kStopGrace);
    server->Wait();
    server.reset();
  }

  OperatorServerOptions options;
  Calls calls;
  OrganisationsService organisations;
  KeysService keys;
  ClassesService classes;
  FailureDomainsService failureDomains;
  PoolsService pools;
  ServersService servers;
  OperationsService operations;
  int listeningPort = 0;
  std::unique_ptr<grpc::Server> server;
};

OperatorServer::OperatorServer(OperatorServerOptions aOptions, Sink aSink)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aSink)))
{
}

OperatorServer::~OperatorServer()
{
  stop();
}

void
OperatorServer::start()
{
  mImpl->start();
}

void
OperatorServer::stop()
{
  mImpl->stop();
}

std::uint16_t
OperatorServer::port() const
{
  return static_cast<std::uint16_t>(mImpl->listeningPort);
}

}
