#pragma once

#include "error.hpp"

#include "mustardplank/base/time.hpp"

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace mustardplank::ctl {

struct ClientOptions
{
  /// "ip:port" each; the next one is tried when one does not answer.
  std::vector<std::string> servers;
  std::string token;
  /// How long a call is repeated while it is not answered.
  Millis timeout = Seconds(15);
};

/// Calls an instance. A call that is not answered, or that the instance could not take, is repeated
/// as it is, so with the same operation id, on the next instance.
///
///     auto list = client.call(&v1::Keys::Stub::List, v1::ListRequest());
class Client
{
public:
  /// aNotes gets a line when a call is repeated.
  Client(ClientOptions aOptions, std::ostream& aNotes);

  template<typename Stub, typename Input, typename Output>
  leaf::result<Output> call(grpc::Status (Stub::*aMethod)(grpc::ClientContext*,
                                                          const Input&,
                                                          Output*),
                            const Input& aInput)
  {
    Output output;
    const auto status = repeat([&](const Connection& aConnection, grpc::ClientContext& aContext) {
      Stub stub(aConnection.channel);
      output.Clear();
      return (stub.*aMethod)(&aContext, aInput, &output);
    });
    if (!status.ok()) {
      return leaf::new_error(toError(status));
    }
    return output;
  }

  /// Opens a stream and hands each message to aTake until that returns false. A stream that breaks
  /// is opened again on the next instance; fails when none answers in time.
  template<typename Stub, typename Input, typename Output>
  leaf::result<void> stream(std::unique_ptr<grpc::ClientReader<Output>> (
                              Stub::*aMethod)(grpc::ClientContext*, const Input&),
                            const Input& aInput,
                            const std::function<bool(const Output&)>& aTake)
  {
    bool wanted = true;
    while (wanted) {
      const auto status = repeat([&](const Connection& aConnection, grpc::ClientContext&) {
        grpc::ClientContext context;
        authorize(context);
        Stub stub(aConnection.channel);
        const auto reader = (stub.*aMethod)(&context, aInput);
        Output output;
        bool any = false;
        while (wanted && reader->Read(&output)) {
          any = true;
          wanted = aTake(output);
        }
        if (!wanted) {
          context.TryCancel();
        }
        const auto ended = reader->Finish();
        // A stream that ran and broke starts the time limit anew.
        return !wanted || any ? grpc::Status::OK : ended;
      });
      if (!status.ok()) {
        return leaf::new_error(toError(status));
      }
    }
    return {};
  }

private:
  struct Connection
  {
    std::string server;
    std::shared_ptr<grpc::Channel> channel;
  };
  using Attempt = std::function<grpc::Status(const Connection&, grpc::ClientContext&)>;

  grpc::Status repeat(const Attempt& aAttempt);
  void authorize(grpc::ClientContext& aContext) const;
  CtlError toError(const grpc::Status& aStatus) const;
  std::string unreachable(const std::string& aLastAnswer) const;

  ClientOptions mOptions;
  std::ostream& mNotes;
  std::vector<Connection> mConnections;
};

}
