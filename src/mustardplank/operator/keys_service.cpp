#include "keys_service.hpp"

#include "field_checks.hpp"
#include "to_proto.hpp"

#include "mustardplank/base/hash.hpp"

namespace mustardplank::operators {

using grpc::ServerContext;
using grpc::Status;
using grpc::StatusCode;

namespace {

constexpr std::size_t kSecretLength = 64;

void
checkSecret(const std::string& aSecret, Findings& aFindings)
{
  const bool isHex = aSecret.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (aSecret.size() != kSecretLength || !isHex) {
    aFindings.add("secret", "is not 64 random lower-case hexadecimal digits");
  }
}

const config::CallerKey*
find(const config::State& aState, const KeyId& aId)
{
  const auto it = aState.keys().find(aId);
  return it == aState.keys().end() ? nullptr : &it->second;
}

}

struct KeysService::NewKey
{
  std::string actor;
  const v1::Mutation& mutation;
  const std::string& secret;
  KeyId id;
  OrganisationId organisation;
  config::Revision defaultExpected = 0;
};

KeysService::KeysService(Calls& aCalls)
  : mCalls(aCalls)
{
}

Status
KeysService::Create(ServerContext* aContext,
                    const v1::CreateKeyRequest* aRequest,
                    v1::KeyResult* aResult)
{
  return mCalls.run(*aContext, [&](const std::string& aActor) {
    Findings findings;
    FieldChecks checks("", findings);
    NewKey key{ aActor,
                aRequest->mutation(),
                aRequest->secret(),
                checks.id<KeyId>("key_id", aRequest->key_id()),
                checks.id<OrganisationId>("organisation", aRequest->organisation()) };
    return put(*aContext, std::move(key), findings, *aResult);
  });
}

Status
KeysService::Rotate(ServerContext* aContext,
                    const v1::RotateKeyRequest* aRequest,
                    v1::KeyResult* aResult)
{
  return mCalls.run(*aContext, [&](const std::string& aActor) {
    Findings findings;
    FieldChecks checks("", findings);
    NewKey key{ aActor,
                aRequest->mutation(),
                aRequest->secret(),
                checks.id<KeyId>("key_id", aRequest->key_id()),
                {} };
    if (!findings.empty()) {
      return invalidArgument(findings);
    }
    std::shared_ptr<const config::State> state;
    const auto status = mCalls.state(*aContext, state);
    if (!status.ok()) {
      return status;
    }
    const auto* current = find(*state, key.id);
    if (current == nullptr) {
      return Status(StatusCode::NOT_FOUND,
                    "there is no key with this id; list them with \"mustardplankctl key list\"");
    }
    if (current->withdrawn) {
      return Status(StatusCode::FAILED_PRECONDITION,
                    "key \"" + key.id.str() +
                      "\" was withdrawn, which cannot be undone; create a new key");
    }
    key.organisation = current->organisation;
    key.defaultExpected = current->revision;
    return put(*aContext, std::move(key), findings, *aResult);
  });
}

Status
KeysService::put(const ServerContext& aContext,
                 NewKey aNew,
                 Findings& aFindings,
                 v1::KeyResult& aResult)
{
  checkSecret(aNew.secret, aFindings);
  const auto& operation = aNew.mutation.operation_id();
  const auto text =
    std::string(kCallerKeyPrefix) + hmacSha256Hex(aNew.secret, operation + "/" + aNew.id.str());
  config::CallerKey key;
  key.id = aNew.id;
  key.organisation = aNew.organisation;
  key.hash = sha256Hex(text);
  ChangeCall call{ aNew.actor, &aNew.mutation, "key", key.id.str(), config::PutKey{ key } };
  call.defaultExpected = aNew.defaultExpected;
  auto& result = *aResult.mutable_result();
  const auto changed = mCalls.change(aContext, std::move(call), aFindings, result);
  if (!changed.ok()) {
    return changed;
  }
  const auto checked = checkInForce(aContext, key);
  if (!checked.ok()) {
    return checked;
  }
  aResult.set_key_id(key.id.str());
  aResult.set_key(text);
  return Status::OK;
}

/// If the operation was done before, perhaps with another secret, or the key was changed since,
/// then the derived key does not work and must not be handed out.
Status
KeysService::checkInForce(const ServerContext& aContext, const config::CallerKey& aKey)
{
  std::shared_ptr<const config::State> state;
  const auto status = mCalls.state(aContext, state);
  if (!status.ok()) {
    return status;
  }
  const auto* current = find(*state, aKey.id);
  if (current == nullptr || current->hash != aKey.hash || current->withdrawn) {
    return { StatusCode::FAILED_PRECONDITION,
             "this operation was done before, and its key is no longer the one in force; rotate "
             "the key with a new operation id" };
  }
  return Status::OK;
}

Status
KeysService::Withdraw(ServerContext* aContext,
                      const v1::WithdrawKeyRequest* aRequest,
                      v1::ChangeResult* aResult)
{
  return mCalls.run(*aContext, [&](const std::string& aActor) {
    Findings findings;
    FieldChecks checks("", findings);
    const auto id = checks.id<KeyId>("key_id", aRequest->key_id());
    ChangeCall call{ aActor, &aRequest->mutation(), "key", id.str(), config::WithdrawKey{ id } };
    return mCalls.change(*aContext, std::move(call), findings, *aResult);
  });
}

Status
KeysService::List(ServerContext* aContext, const v1::ListRequest*, v1::KeyList* aResult)
{
  return mCalls.run(*aContext, [&](const std::string&) {
    std::shared_ptr<const config::State> state;
    const auto status = mCalls.state(*aContext, state);
    if (!status.ok()) {
      return status;
    }
    aResult->set_state_revision(state->revision());
    for (const auto& [id, key] : state->keys()) {
      toProto(key, *aResult->add_keys());
    }
    return status;
  });
}

}
