#include "admission.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>
#include <cctype>

namespace mustardplank::traffic {

namespace {

/// Quotes a caller's value for a message, cut to a length that is easy to read.
std::string
quoted(std::string_view aValue)
{
  constexpr std::size_t kMaxShown = 64;
  return "\"" + std::string(aValue.substr(0, kMaxShown)) + "\"";
}

bool
allows(const config::RequestClass& aClass, const PoolId& aPool)
{
  const auto& pools = aClass.pools;
  return pools.empty() || std::find(pools.begin(), pools.end(), aPool) != pools.end();
}

std::variant<Admitted, Refusal>
admitOpen(const config::State& aState, std::string_view aClass)
{
  const auto it = aState.classes().find(ClassId(std::string(aClass)));
  if (!aClass.empty() && it != aState.classes().end() && it->second.open) {
    return Admitted{ {}, {}, it->second };
  }
  return notRun(ErrorCode::MissingKey,
                "the header Authorization: Bearer <key> is missing; only open classes work "
                "without a key");
}

std::variant<Admitted, Refusal>
admitClass(const config::State& aState,
           const config::CallerKey& aKey,
           const config::Organisation& aOrganisation,
           std::string_view aClass)
{
  const ClassId wanted = aClass.empty() ? aOrganisation.defaultClass : ClassId(std::string(aClass));
  if (wanted.empty()) {
    return notRun(ErrorCode::UnknownClass,
                  "the organisation has no default class; name one in X-Request-Class");
  }
  const auto it = aState.classes().find(wanted);
  if (it == aState.classes().end()) {
    return notRun(ErrorCode::UnknownClass,
                  "there is no request class " + quoted(wanted.str()) + " (X-Request-Class)");
  }
  const auto& allowed = aOrganisation.allowedClasses;
  const bool isAllowed = it->second.open || wanted == aOrganisation.defaultClass ||
                         std::find(allowed.begin(), allowed.end(), wanted) != allowed.end();
  if (!isAllowed) {
    return notRun(ErrorCode::ClassNotAllowed,
                  "the organisation may not use request class " + quoted(wanted.str()));
  }
  return Admitted{ aOrganisation.id, aKey.id, it->second };
}

}

std::string_view
bearerKey(std::string_view aAuthorization)
{
  constexpr std::string_view kScheme = "bearer ";
  if (aAuthorization.size() <= kScheme.size()) {
    return {};
  }
  const bool isBearer =
    std::equal(kScheme.begin(), kScheme.end(), aAuthorization.begin(), [](char aLeft, char aRight) {
      return aLeft == std::tolower(static_cast<unsigned char>(aRight));
    });
  if (!isBearer) {
    return {};
  }
  auto key = aAuthorization.substr(kScheme.size());
  key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
  return key;
}

std::variant<Admitted, Refusal>
admit(const config::State& aState, const Credentials& aCredentials, bool aIsolated)
{
  if (aCredentials.authorization.empty()) {
    return admitOpen(aState, aCredentials.requestClass);
  }
  const auto key = bearerKey(aCredentials.authorization);
  if (key.empty()) {
    return notRun(ErrorCode::MissingKey, "Authorization must have the form \"Bearer <key>\"");
  }
  const config::CallerKey* found = aState.findKey(sha256Hex(key));
  if (found == nullptr) {
    return notRun(ErrorCode::UnknownKey, "the caller key is not known");
  }
  if (found->withdrawn) {
    return notRun(ErrorCode::KeyWithdrawn, "the caller key was withdrawn");
  }
  const auto organisation = aState.organisations().find(found->organisation);
  if (organisation == aState.organisations().end()) {
    return notRun(ErrorCode::UnknownKey, "the caller key belongs to no organisation");
  }
  if (aIsolated && organisation->second.isolation == config::Isolation::Refuse) {
    return notRun(ErrorCode::Isolated);
  }
  return admitClass(aState, *found, organisation->second, aCredentials.requestClass);
}

std::variant<PoolId, Refusal>
poolOfModel(const config::State& aState, const config::RequestClass& aClass, const ModelId& aModel)
{
  bool known = false;
  for (const auto& [id, pool] : aState.pools()) {
    const auto& models = pool.models;
    if (pool.kind != config::PoolKind::Model ||
        std::find(models.begin(), models.end(), aModel) == models.end()) {
      continue;
    }
    if (allows(aClass, id)) {
      return id;
    }
    known = true;
  }
  if (!known) {
    return notRun(ErrorCode::UnknownModel, "there is no model " + quoted(aModel.str()));
  }
  return notRun(ErrorCode::ClassNotAllowed,
                "model " + quoted(aModel.str()) + " is not served in request class " +
                  quoted(aClass.id.str()));
}

std::variant<PoolId, Refusal>
poolOfService(const config::State& aState,
              const config::RequestClass& aClass,
              std::string_view aService)
{
  bool known = false;
  for (const auto& [id, pool] : aState.pools()) {
    if (pool.kind != config::PoolKind::Service || pool.service != aService) {
      continue;
    }
    if (allows(aClass, id)) {
      return id;
    }
    known = true;
  }
  if (!known) {
    return notRun(ErrorCode::UnknownService, "there is no service " + quoted(aService));
  }
  return notRun(ErrorCode::ClassNotAllowed,
                "service " + quoted(aService) + " is not served in request class " +
                  quoted(aClass.id.str()));
}

}
