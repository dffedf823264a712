#pragma once

#include "refusal.hpp"

#include "mustardplank/config/state.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace mustardplank::traffic {

/// What the caller showed of itself in the header.
struct Credentials
{
  /// Value of Authorization; empty when it was not sent.
  std::string_view authorization;
  /// Value of X-Request-Class; empty when it was not sent.
  std::string_view requestClass;
};

/// Whose request it is and in which class it runs.
struct Admitted
{
  /// Empty on an open route without a key.
  OrganisationId organisation;
  KeyId key;
  config::RequestClass requestClass;
};

/// Checks key, organisation, class and isolation. aIsolated: this failure domain can reach neither
/// the log nor another failure domain.
std::variant<Admitted, Refusal>
admit(const config::State& aState, const Credentials& aCredentials, bool aIsolated);

/// The key of "Bearer <key>"; empty when the value has another form.
std::string_view
bearerKey(std::string_view aAuthorization);

/// The pool of the class that serves the model.
std::variant<PoolId, Refusal>
poolOfModel(const config::State& aState, const config::RequestClass& aClass, const ModelId& aModel);

/// The pool of the class that serves the plain service.
std::variant<PoolId, Refusal>
poolOfService(const config::State& aState,
              const config::RequestClass& aClass,
              std::string_view aService);

}
