#pragma once

#include "admission.hpp"
#include "refusal.hpp"
#include "request.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardplank::traffic {

class Server;

/// Turns a caller's HTTP request into a Request, or says why not. The header is checked before the
/// body is read, so that a caller without a key cannot make us take in its body.
class RequestBuilder
{
public:
  using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

  /// aRequest must outlive the builder.
  RequestBuilder(Server& aServer, const HttpRequest& aRequest);

  /// Key, organisation and class only.
  std::optional<Refusal> checkCaller();
  /// All of the header.
  std::optional<Refusal> checkHeader();
  const Admitted& admitted() const { return mAdmitted; }
  /// After checkHeader(), with the body read.
  std::variant<std::unique_ptr<Request>, Refusal> build(const HttpRequest& aRequest);

private:
  std::optional<Refusal> checkRoute();
  std::optional<Refusal> checkIdempotencyKey();
  std::optional<Refusal> checkNoKeyInside(const HttpRequest& aRequest) const;
  std::optional<Refusal> fillChat(const HttpRequest& aRequest, Request& aTo);
  std::optional<Refusal> fillService(const HttpRequest& aRequest, Request& aTo);

  Server& mServer;
  const HttpRequest& mHeader;
  Admitted mAdmitted;
  bool mIsService = false;
  std::string mService;
  std::string mServiceTarget;
  std::string mIdempotencyKey;
};

/// The models of all pools of a class, each once, sorted.
std::vector<ModelId>
modelsOfClass(const config::State& aState, const config::RequestClass& aClass);

}
