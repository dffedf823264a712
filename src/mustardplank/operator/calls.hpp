#pragma once

#include "authenticator.hpp"

#include "mustardplank/base/findings.hpp"
#include "mustardplank/operator/operator_server.hpp"

#include <grpcpp/grpcpp.h>
#include <mustardplank.pb.h>

#include <atomic>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace mustardplank::operators {

/// A change as a call asks for it, and how to speak of its object in messages.
struct ChangeCall
{
  std::string actor;
  const v1::Mutation* mutation = nullptr;
  /// For example "organisation".
  std::string kind;
  std::string id;
  config::Change change;
  /// Used when the call has no expected revision.
  std::optional<config::Revision> defaultExpected = std::nullopt;
};

/// What all services need: checks tokens, hands requests to the decisions thread, waits for replies
/// and turns them into gRPC status codes.
class Calls
{
public:
  Calls(const OperatorServerOptions& aOptions, OperatorServer::Sink aSink);

  /// Runs a call for an authenticated operator, whose name aBody gets.
  grpc::Status run(const grpc::ServerContext& aContext,
                   const std::function<grpc::Status(const std::string&)>& aBody) const;

  grpc::Status state(const grpc::ServerContext& aContext,
                     std::shared_ptr<const config::State>& aState);
  /// With the problems of findProblems().
  grpc::Status status(const grpc::ServerContext& aContext, StatusReport& aReport);
  /// aFindings are those of the conversion so far; with any, nothing is changed.
  grpc::Status change(const grpc::ServerContext& aContext,
                      ChangeCall aCall,
                      Findings& aFindings,
                      v1::ChangeResult& aResult);

  Duration watchInterval() const { return mOptions.watchInterval; }
  std::size_t maxWatches() const { return mOptions.maxWatches; }
  /// Ends waiting calls and watches.
  void stop() { mStopping = true; }
  bool isEnding(const grpc::ServerContext& aContext) const;

private:
  template<typename RequestType, typename Reply>
  grpc::Status ask(const grpc::ServerContext& aContext, RequestType aRequest, Reply& aReply);
  bool push(Request aRequest);

  OperatorServerOptions mOptions;
  Authenticator mAuthenticator;
  std::mutex mSinkMutex;
  OperatorServer::Sink mSink;
  std::atomic<bool> mStopping{ false };
};

/// INVALID_ARGUMENT with all findings.
grpc::Status
invalidArgument(const Findings& aFindings);

}
