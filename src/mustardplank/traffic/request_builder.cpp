#include "request_builder.hpp"

#include "chat_request.hpp"
#include "server.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/hash.hpp"

#include <algorithm>
#include <set>

namespace mustardplank::traffic {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
/// Shorter keys could occur in a body by chance.
constexpr std::size_t kMinKeyBytesToSearch = 8;

std::string_view
view(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

bool
isServiceMethod(http::verb aVerb)
{
  switch (aVerb) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::post:
    case http::verb::put:
    case http::verb::patch:
    case http::verb::delete_:
      return true;
    default:
      return false;
  }
}

bool
contains(std::string_view aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string_view::npos;
}

}

RequestBuilder::RequestBuilder(Server& aServer, const HttpRequest& aRequest)
  : mServer(aServer)
  , mHeader(aRequest)
{
}

std::optional<Refusal>
RequestBuilder::checkCaller()
{
  if (!mServer.state()) {
    return Refusal{
      ErrorCode::Overloaded, "this instance has no configuration yet", RunState::NotRun, Seconds(1)
    };
  }
  if (mHeader.count(http::field::authorization) > 1) {
    return notRun(ErrorCode::InvalidRequest, "Authorization must be sent once");
  }
  const Credentials credentials{ view(mHeader[http::field::authorization]),
                                 view(mHeader["X-Request-Class"]) };
  auto result = admit(*mServer.state(), credentials, mServer.isolated());
  if (auto* refusal = std::get_if<Refusal>(&result)) {
    return std::move(*refusal);
  }
  mAdmitted = std::move(std::get<Admitted>(result));
  return std::nullopt;
}

std::optional<Refusal>
RequestBuilder::checkHeader()
{
  if (mServer.draining()) {
    return notRun(ErrorCode::Draining, Seconds(1));
  }
  if (auto refusal = checkRoute()) {
    return refusal;
  }
  if (auto refusal = checkCaller()) {
    return refusal;
  }
  return checkIdempotencyKey();
}

std::optional<Refusal>
RequestBuilder::checkRoute()
{
  const auto target = view(mHeader.target());
  const auto path = target.substr(0, target.find('?'));
  if (path == kChatPath) {
    if (mHeader.method() != http::verb::post) {
      return notRun(ErrorCode::MethodNotAllowed, "only POST works here");
    }
    return std::nullopt;
  }
  if (!path.starts_with(kServicePrefix)) {
    return notRun(ErrorCode::NotFound, "there is no such path");
  }
  if (!isServiceMethod(mHeader.method())) {
    return notRun(ErrorCode::MethodNotAllowed, "GET, HEAD, POST, PUT, PATCH and DELETE work here");
  }
  const auto rest = target.substr(kServicePrefix.size());
  const auto end = std::min(rest.find_first_of("/?"), rest.size());
  mIsService = true;
  mService = rest.substr(0, end);
  mServiceTarget = rest.substr(end);
  if (!mServiceTarget.starts_with('/')) {
    mServiceTarget.insert(0, 1, '/');
  }
  return std::nullopt;
}

std::optional<Refusal>
RequestBuilder::checkIdempotencyKey()
{
  const auto key = view(mHeader["Idempotency-Key"]);
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return notRun(ErrorCode::InvalidRequest,
                  "Idempotency-Key is longer than " + std::to_string(kMaxIdempotencyKeyBytes) +
                    " bytes");
  }
  const bool printable = std::all_of(
    key.begin(), key.end(), [](unsigned char aByte) { return aByte >= 0x20 && aByte < 0x7f; });
  if (!printable) {
    return notRun(ErrorCode::InvalidRequest, "Idempotency-Key has characters other than ASCII");
  }
  mIdempotencyKey = key;
  return std::nullopt;
}

std::optional<Refusal>
RequestBuilder::checkNoKeyInside(const HttpRequest& aRequest) const
{
  const auto key = bearerKey(view(aRequest[http::field::authorization]));
  if (key.size() < kMinKeyBytesToSearch) {
    return std::nullopt;
  }
  const bool found = contains(view(aRequest.target()), key) ||
                     contains(view(aRequest[http::field::content_type]), key) ||
                     contains(view(aRequest[http::field::accept]), key) ||
                     contains(mIdempotencyKey, key) || contains(aRequest.body(), key);
  if (!found) {
    return std::nullopt;
  }
  return notRun(ErrorCode::InvalidRequest,
                "the caller key may stand in the Authorization header only, as everything else is "
                "passed on");
}

std::variant<std::unique_ptr<Request>, Refusal>
RequestBuilder::build(const HttpRequest& aRequest)
{
  // Reading the body took time: the key may be withdrawn by now.
  if (auto refusal = checkHeader()) {
    return std::move(*refusal);
  }
  if (auto refusal = checkNoKeyInside(aRequest)) {
    return std::move(*refusal);
  }
  const auto& requestClass = mAdmitted.requestClass;
  auto request = std::make_unique<Request>(
    mServer.io(), mServer.metrics().recorder(requestClass.id, mAdmitted.organisation));
  if (auto refusal = mIsService ? fillService(aRequest, *request) : fillChat(aRequest, *request)) {
    request->recorder.refusal(refusal->code);
    return std::move(*refusal);
  }
  request->info.id = mServer.nextRequestId();
  request->info.organisation = mAdmitted.organisation;
  request->info.requestClass = requestClass.id;
  request->info.tier = requestClass.tier;
  request->info.untilDeadline = requestClass.firstTokenTarget;
  request->info.repeatable = requestClass.repeatable;
  request->info.digest = stableHash(mAdmitted.organisation.str() + '\n' + request->method +
                                    request->target + '\n' + request->body);
  request->key = mAdmitted.key;
  request->firstTokenTarget = requestClass.firstTokenTarget;
  request->received = bootNow();
  request->isService = mIsService;
  request->once = !requestClass.repeatable && !mIdempotencyKey.empty();
  if (request->once) {
    request->idempotencyKey = mIdempotencyKey;
    request->bodyDigest = sha256Hex(std::string(view(aRequest.method_string())) + '\n' +
                                    std::string(view(aRequest.target())) + '\n' + aRequest.body());
  }
  return request;
}

std::optional<Refusal>
RequestBuilder::fillChat(const HttpRequest& aRequest, Request& aTo)
{
  auto parsed = parseChatRequest(aRequest.body());
  if (auto* refusal = std::get_if<Refusal>(&parsed)) {
    return std::move(*refusal);
  }
  auto& chat = std::get<ChatRequest>(parsed);
  aTo.info.model = ModelId(std::move(chat.model));
  auto pool = poolOfModel(*mServer.state(), mAdmitted.requestClass, aTo.info.model);
  if (auto* refusal = std::get_if<Refusal>(&pool)) {
    return std::move(*refusal);
  }
  aTo.info.pool = std::get<PoolId>(pool);
  aTo.info.promptTokens = chat.promptTokens;
  aTo.info.maxTokens = chat.maxTokens;
  aTo.info.prefixHashes = std::move(chat.prefixHashes);
  aTo.stream = chat.stream;
  aTo.includeUsage = chat.includeUsage;
  aTo.method = "POST";
  aTo.target = kChatPath;
  aTo.contentType = "application/json";
  aTo.accept = "text/event-stream";
  aTo.body = std::move(chat.backendBody);
  return std::nullopt;
}

std::optional<Refusal>
RequestBuilder::fillService(const HttpRequest& aRequest, Request& aTo)
{
  auto pool = poolOfService(*mServer.state(), mAdmitted.requestClass, mService);
  if (auto* refusal = std::get_if<Refusal>(&pool)) {
    return std::move(*refusal);
  }
  aTo.info.pool = std::get<PoolId>(pool);
  aTo.method = view(aRequest.method_string());
  aTo.target = mServiceTarget;
  aTo.contentType = view(aRequest[http::field::content_type]);
  aTo.accept = view(aRequest[http::field::accept]);
  aTo.body = aRequest.body();
  return std::nullopt;
}

std::vector<ModelId>
modelsOfClass(const config::State& aState, const config::RequestClass& aClass)
{
  std::set<ModelId> models;
  for (const auto& [id, pool] : aState.pools()) {
    const bool inClass =
      aClass.pools.empty() ||
      std::find(aClass.pools.begin(), aClass.pools.end(), id) != aClass.pools.end();
    if (inClass && pool.kind == config::PoolKind::Model) {
      models.insert(pool.models.begin(), pool.models.end());
    }
  }
  return { models.begin(), models.end() };
}

}
