#pragma once

#include "mustardplank/base/hash.hpp"
#include "mustardplank/config/store.hpp"
#include "mustardplank/operator/operator_server.hpp"

#include <nlohmann/json.hpp>

#include <grpcpp/grpcpp.h>
#include <mustardplank.grpc.pb.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::operators::test {

inline constexpr const char* kToken = "test-token";

/// Answers requests at once in place of the decisions thread, with a real configuration store whose
/// log is this object.
class FakeDecisions
{
public:
  enum class Mode
  {
    Answer,
    /// The ring is full.
    Refuse,
    /// The request is destroyed unanswered.
    Drop,
    /// The request is kept unanswered.
    Keep,
    LogUnavailable,
  };

  bool push(Request aRequest)
  {
    const int inside = ++mInside;
    mMaxInside = std::max(mMaxInside.load(), inside);
    const bool taken = handle(std::move(aRequest));
    --mInside;
    return taken;
  }

  std::atomic<Mode> mode{ Mode::Answer };
  StatusReport report;
  /// Whether repeats are answered like first calls.
  bool hidesRepeats = false;

  std::shared_ptr<const config::State> state() const { return mStore.current(); }
  /// Number of times that two threads were in push() at once, plus one.
  int maxInside() const { return mMaxInside; }
  /// Everything that went into the log, as text.
  std::string logText() const
  {
    std::string text;
    for (const auto& it : mEntries) {
      text += it.record->dump() + "\n";
    }
    return text;
  }

private:
  bool handle(Request aRequest)
  {
    switch (mode.load()) {
      case Mode::Refuse:
        return false;
      case Mode::Drop:
        return true;
      case Mode::Keep:
        mKept.push_back(std::move(aRequest));
        return true;
      case Mode::Answer:
      case Mode::LogUnavailable:
        std::visit([this](auto& aOne) { answer(aOne); }, aRequest);
        return true;
    }
    return false;
  }

  void answer(ChangeRequest& aRequest)
  {
    ChangeReply reply;
    if (mode == Mode::LogUnavailable) {
      reply.inLog = false;
      reply.unavailable = !config::isWithdrawal(aRequest.record.change);
      if (!reply.unavailable) {
        mStore.addTombstone(aRequest.record);
      }
      aRequest.reply(reply);
      return;
    }
    auto record = std::make_shared<const nlohmann::json>(config::encodeChange(aRequest.record));
    mEntries.push_back({ mEntries.size(), 0, std::move(record) });
    const auto result = mStore.apply(mEntries.back()).operation.value();
    reply.outcome = hidesRepeats ? result.first : result.outcome;
    reply.first = result.first;
    reply.revision = result.revision;
    reply.message = result.message;
    aRequest.reply(reply);
  }
  void answer(StateRequest& aRequest) { aRequest.reply(mStore.current()); }
  void answer(StatusRequest& aRequest)
  {
    report.configRevision = mStore.current()->revision();
    aRequest.reply(report);
  }

  config::Store mStore;
  std::vector<platform::LogEntry> mEntries;
  std::vector<Request> mKept;
  std::atomic<int> mInside{ 0 };
  std::atomic<int> mMaxInside{ 0 };
};

/// A server on a free loopback port with its decisions, and a channel to it.
struct Fixture
{
  Fixture()
  {
    decisions.report.instance = InstanceId("a1");
    decisions.report.failureDomain = FailureDomainId("a");
    decisions.report.logReachable = true;
    OperatorServerOptions options;
    options.address = { "127.0.0.1", 0 };
    options.tokens = { { "other", sha256Hex("other-token") }, { "tester", sha256Hex(kToken) } };
    options.replyTimeout = Millis(300);
    options.watchInterval = Millis(20);
    options.maxWatches = 2;
    server = std::make_unique<OperatorServer>(
      options, [this](Request aRequest) { return decisions.push(std::move(aRequest)); });
    server->start();
    channel = grpc::CreateChannel("ipv4:127.0.0.1:" + std::to_string(server->port()),
                                  grpc::InsecureChannelCredentials());
  }

  /// Runs a call with the token and a time limit.
  template<typename Stub, typename Method, typename Input, typename Output>
  grpc::Status call(Stub& aStub, Method aMethod, const Input& aInput, Output& aOutput)
  {
    grpc::ClientContext context;
    prepare(context);
    return ((*aStub).*aMethod)(&context, aInput, &aOutput);
  }

  static void prepare(grpc::ClientContext& aContext, const std::string& aToken = kToken)
  {
    aContext.AddMetadata("authorization", "Bearer " + aToken);
    aContext.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(20));
  }

  FakeDecisions decisions;
  std::unique_ptr<OperatorServer> server;
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<v1::Organisations::Stub> organisations()
  {
    return v1::Organisations::NewStub(channel);
  }
  std::unique_ptr<v1::Keys::Stub> keys() { return v1::Keys::NewStub(channel); }
  std::unique_ptr<v1::Classes::Stub> classes() { return v1::Classes::NewStub(channel); }
  std::unique_ptr<v1::FailureDomains::Stub> failureDomains()
  {
    return v1::FailureDomains::NewStub(channel);
  }
  std::unique_ptr<v1::Pools::Stub> pools() { return v1::Pools::NewStub(channel); }
  std::unique_ptr<v1::Servers::Stub> servers() { return v1::Servers::NewStub(channel); }
  std::unique_ptr<v1::Operations::Stub> operations() { return v1::Operations::NewStub(channel); }

  int nextOperation = 0;
  template<typename Message>
  Message mutation(Message aMessage)
  {
    aMessage.mutable_mutation()->set_operation_id("op" + std::to_string(nextOperation++));
    return aMessage;
  }

  v1::PutFailureDomainRequest putFailureDomain(const std::string& aId)
  {
    auto request = mutation(v1::PutFailureDomainRequest());
    request.mutable_failure_domain()->set_id(aId);
    return request;
  }
  v1::PutPoolRequest putPool(const std::string& aId)
  {
    auto request = mutation(v1::PutPoolRequest());
    request.mutable_pool()->set_id(aId);
    request.mutable_pool()->add_models("m1");
    request.mutable_pool()->set_max_servers(3);
    return request;
  }
  v1::PutOrganisationRequest putOrganisation(const std::string& aId)
  {
    auto request = mutation(v1::PutOrganisationRequest());
    request.mutable_organisation()->set_id(aId);
    return request;
  }
  v1::PutServerRequest putServer(const std::string& aId)
  {
    auto request = mutation(v1::PutServerRequest());
    auto& server = *request.mutable_server();
    server.set_id(aId);
    server.set_failure_domain("a");
    server.set_pool("chat");
    server.set_address("127.0.0.1:9000");
    return request;
  }
  v1::CreateKeyRequest createKey(const std::string& aId, char aSecret)
  {
    auto request = mutation(v1::CreateKeyRequest());
    request.set_key_id(aId);
    request.set_organisation("port");
    request.set_secret(std::string(64, aSecret));
    return request;
  }

  /// Failure domains a and b, pool chat, class urgent, organisation port.
  void fill()
  {
    v1::ChangeResult result;
    auto domains = failureDomains();
    for (const auto* id : { "a", "b" }) {
      require(call(domains, &v1::FailureDomains::Stub::Put, putFailureDomain(id), result));
    }
    auto pool = pools();
    require(call(pool, &v1::Pools::Stub::Put, putPool("chat"), result));
    auto requestClass = mutation(v1::PutClassRequest());
    requestClass.mutable_request_class()->set_id("urgent");
    requestClass.mutable_request_class()->add_pools("chat");
    auto stub = classes();
    require(call(stub, &v1::Classes::Stub::Put, requestClass, result));
    auto organisation = organisations();
    require(call(organisation, &v1::Organisations::Stub::Put, putOrganisation("port"), result));
  }

  static void require(const grpc::Status& aStatus)
  {
    if (!aStatus.ok()) {
      throw std::runtime_error("call failed: " + aStatus.error_message());
    }
  }
};

}
