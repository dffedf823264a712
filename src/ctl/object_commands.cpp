#include "apply_options.hpp"
#include "option_reader.hpp"
#include "render.hpp"
#include "session.hpp"

#include "mustardplank/base/hash.hpp"

#include <algorithm>

namespace mustardplank::ctl {

namespace {

constexpr std::size_t kSecretBytes = 32;

leaf::result<void>
usageError(const Findings& aFindings)
{
  auto text = aFindings.text();
  text.pop_back();
  return leaf::new_error(CtlError{ ExitCode::Usage, text });
}

/// Adds to an error without answer how to repeat the call from a new command. The error keeps its
/// id, since LEAF lets the handled one replace a new one.
template<typename T>
leaf::result<T>
withOperation(const v1::Mutation& aMutation, const std::function<leaf::result<T>()>& aCall)
{
  return leaf::try_handle_some(
    aCall, [&](CtlError& aError, const leaf::error_info& aInfo) -> leaf::result<T> {
      if (aError.code == ExitCode::Unreachable) {
        aError.message += "\nIt is not known whether the change was made. To ask again, repeat the "
                          "same command with --operation-id " +
                          aMutation.operation_id();
      }
      return aInfo.error();
    });
}

void
print(Session& aSession,
      const v1::ChangeResult& aResult,
      const std::string& aObject,
      const std::string& aDone)
{
  if (aSession.json) {
    aSession.out << toJson(aResult);
    return;
  }
  aSession.out << aObject << " " << aDone << ", revision " << aResult.revision() << ".";
  if (aResult.repeated()) {
    aSession.out << " This had been done before under the same operation id.";
  }
  if (!aResult.in_log()) {
    aSession.out << " It is in force on all instances that can be reached, but not in the log yet; "
                    "that follows when the log can be reached. Check with: mustardplankctl status";
  }
  aSession.out << "\n";
}

template<typename Message>
void
printList(Session& aSession, const Message& aMessage)
{
  aSession.out << (aSession.json ? toJson(aMessage) : render(aMessage));
}

/// Whether the command line has any option that belongs to this command.
bool
hasOwnOption(const CommandLine& aLine)
{
  const auto& names = aLine.command->options;
  return std::any_of(names.begin(), names.end(), [&](auto aName) { return aLine.has(aName); });
}

/// Creates an object, or changes what is given of the current one. The revision read is the one
/// expected, so that a change made by somebody else in between is not lost.
template<typename Stub, typename List, typename Request, typename Object>
leaf::result<void>
put(Session& aSession,
    grpc::Status (Stub::*aList)(grpc::ClientContext*, const v1::ListRequest&, List*),
    const google::protobuf::RepeatedPtrField<Object>& (List::*aObjects)() const,
    grpc::Status (Stub::*aPut)(grpc::ClientContext*, const Request&, v1::ChangeResult*),
    Object* (Request::*aObject)())
{
  const auto& line = aSession.line;
  Findings findings;
  Object tried;
  applyOptions(line, tried, findings);
  if (!findings.empty()) {
    return usageError(findings);
  }
  Request request;
  BOOST_LEAF_ASSIGN(*request.mutable_mutation(), makeMutation(line));
  BOOST_LEAF_AUTO(list, aSession.client.call(aList, v1::ListRequest()));
  auto& object = *(request.*aObject)();
  object.set_id(line.argument);
  const auto& current = (list.*aObjects)();
  const auto hasId = [&](const Object& aItem) { return aItem.id() == line.argument; };
  const auto it = std::find_if(current.begin(), current.end(), hasId);
  const bool exists = it != current.end();
  if (exists && !hasOwnOption(line)) {
    return leaf::new_error(
      CtlError{ ExitCode::Usage,
                "it exists already and no option says what to change; \"mustardplankctl " +
                  line.command->name() + " --help\" lists the options" });
  }
  bool isWithdrawn = false;
  if (exists) {
    object = *it;
    if constexpr (requires { it->withdrawn(); }) {
      // To return it to service, the operator has to give its revision.
      isWithdrawn = it->withdrawn();
    }
  }
  applyOptions(line, object, findings);
  if (!line.has("expected-revision") && !isWithdrawn) {
    request.mutable_mutation()->set_expected_revision(exists ? it->revision() : 0);
  }
  BOOST_LEAF_AUTO(result, withOperation<v1::ChangeResult>(request.mutation(), [&] {
                    return aSession.client.call(aPut, request);
                  }));
  print(aSession,
        result,
        std::string(line.command->group) + " " + line.argument,
        exists ? "changed" : "created");
  return {};
}

/// A change that names only the object.
template<typename Stub, typename Request>
leaf::result<void>
change(Session& aSession,
       grpc::Status (Stub::*aMethod)(grpc::ClientContext*, const Request&, v1::ChangeResult*),
       const std::string& aDone)
{
  Request request;
  BOOST_LEAF_ASSIGN(*request.mutable_mutation(), makeMutation(aSession.line));
  if constexpr (requires { request.set_id(""); }) {
    request.set_id(aSession.line.argument);
  } else {
    request.set_key_id(aSession.line.argument);
  }
  BOOST_LEAF_AUTO(result, withOperation<v1::ChangeResult>(request.mutation(), [&] {
                    return aSession.client.call(aMethod, request);
                  }));
  print(aSession,
        result,
        std::string(aSession.line.command->group) + " " + aSession.line.argument,
        aDone);
  return {};
}

template<typename Stub, typename List>
leaf::result<void>
list(Session& aSession,
     grpc::Status (Stub::*aMethod)(grpc::ClientContext*, const v1::ListRequest&, List*))
{
  BOOST_LEAF_AUTO(result, aSession.client.call(aMethod, v1::ListRequest()));
  printList(aSession, result);
  return {};
}

/// Removes what aKeep does not want.
template<typename Objects, typename Keep>
void
filter(Objects& aObjects, Keep aKeep)
{
  const auto drop = [&](const auto& aItem) { return !aKeep(aItem); };
  aObjects.erase(std::remove_if(aObjects.begin(), aObjects.end(), drop), aObjects.end());
}

bool
isListed(const CommandLine& aLine, std::string_view aOption, const std::string& aValue)
{
  const auto it = aLine.options.find(aOption);
  return it == aLine.options.end() ||
         std::find(it->second.begin(), it->second.end(), aValue) != it->second.end();
}

leaf::result<void>
printKey(Session& aSession, leaf::result<v1::KeyResult> aResult)
{
  if (!aResult) {
    return aResult.error();
  }
  if (aSession.json) {
    aSession.out << toJson(*aResult);
    return {};
  }
  aSession.out << "key " << aResult->key_id() << ", revision " << aResult->result().revision()
               << ":\n"
               << aResult->key() << "\nIt is shown only now and kept nowhere.\n";
  return {};
}

/// The secret of the new key is lost with this process, so a later repeat cannot return the key.
template<typename Request>
leaf::result<v1::KeyResult>
callForKey(Session& aSession,
           grpc::Status (v1::Keys::Stub::*aMethod)(grpc::ClientContext*,
                                                   const Request&,
                                                   v1::KeyResult*),
           const Request& aRequest)
{
  return leaf::try_handle_some(
    [&] { return aSession.client.call(aMethod, aRequest); },
    [&](CtlError& aError, const leaf::error_info& aInfo) -> leaf::result<v1::KeyResult> {
      if (aError.code == ExitCode::Unreachable) {
        aError.message += "\nIt is not known whether key \"" + aRequest.key_id() +
                          "\" was made. See \"mustardplankctl key list\"; if it is there, "
                          "\"mustardplankctl key rotate " +
                          aRequest.key_id() + "\" makes a new one of it.";
      }
      return aInfo.error();
    });
}

leaf::result<void>
createKey(Session& aSession)
{
  const auto& line = aSession.line;
  if (!line.has("organisation")) {
    return leaf::new_error(CtlError{
      ExitCode::Usage, "--organisation: missing; give the organisation that the key is for" });
  }
  v1::CreateKeyRequest request;
  BOOST_LEAF_ASSIGN(*request.mutable_mutation(), makeMutation(line));
  request.set_organisation(line.value("organisation"));
  request.set_key_id(line.argument);
  request.set_secret(randomHex(kSecretBytes));
  return printKey(aSession, callForKey(aSession, &v1::Keys::Stub::Create, request));
}

leaf::result<void>
rotateKey(Session& aSession)
{
  v1::RotateKeyRequest request;
  BOOST_LEAF_ASSIGN(*request.mutable_mutation(), makeMutation(aSession.line));
  request.set_key_id(aSession.line.argument);
  request.set_secret(randomHex(kSecretBytes));
  return printKey(aSession, callForKey(aSession, &v1::Keys::Stub::Rotate, request));
}

}

leaf::result<void>
runOrganisation(Session& aSession)
{
  using Stub = v1::Organisations::Stub;
  const auto action = aSession.line.command->action;
  if (action == "put") {
    return put(aSession,
               &Stub::List,
               &v1::OrganisationList::organisations,
               &Stub::Put,
               &v1::PutOrganisationRequest::mutable_organisation);
  }
  if (action == "list") {
    return list(aSession, &Stub::List);
  }
  v1::GetRequest request;
  request.set_id(aSession.line.argument);
  BOOST_LEAF_AUTO(organisation, aSession.client.call(&Stub::Get, request));
  if (aSession.json) {
    aSession.out << toJson(organisation);
    return {};
  }
  v1::OrganisationList one;
  *one.add_organisations() = organisation;
  printList(aSession, one);
  return {};
}

leaf::result<void>
runKey(Session& aSession)
{
  using Stub = v1::Keys::Stub;
  const auto action = aSession.line.command->action;
  if (action == "create") {
    return createKey(aSession);
  }
  if (action == "rotate") {
    return rotateKey(aSession);
  }
  if (action == "withdraw") {
    return change(aSession, &Stub::Withdraw, "withdrawn");
  }
  BOOST_LEAF_AUTO(keys, aSession.client.call(&Stub::List, v1::ListRequest()));
  filter(*keys.mutable_keys(), [&](const auto& aKey) {
    return isListed(aSession.line, "organisation", aKey.organisation());
  });
  printList(aSession, keys);
  return {};
}

leaf::result<void>
runClass(Session& aSession)
{
  using Stub = v1::Classes::Stub;
  if (aSession.line.command->action == "put") {
    return put(aSession,
               &Stub::List,
               &v1::ClassList::classes,
               &Stub::Put,
               &v1::PutClassRequest::mutable_request_class);
  }
  return list(aSession, &Stub::List);
}

leaf::result<void>
runFailureDomain(Session& aSession)
{
  using Stub = v1::FailureDomains::Stub;
  const auto action = aSession.line.command->action;
  if (action == "put") {
    return put(aSession,
               &Stub::List,
               &v1::FailureDomainList::failure_domains,
               &Stub::Put,
               &v1::PutFailureDomainRequest::mutable_failure_domain);
  }
  if (action == "take-out") {
    return change(aSession, &Stub::TakeOut, "taken out");
  }
  if (action == "bring-back") {
    return change(aSession, &Stub::BringBack, "brought back");
  }
  return list(aSession, &Stub::List);
}

leaf::result<void>
runPool(Session& aSession)
{
  using Stub = v1::Pools::Stub;
  if (aSession.line.command->action == "put") {
    return put(
      aSession, &Stub::List, &v1::PoolList::pools, &Stub::Put, &v1::PutPoolRequest::mutable_pool);
  }
  return list(aSession, &Stub::List);
}

leaf::result<void>
runServer(Session& aSession)
{
  using Stub = v1::Servers::Stub;
  const auto action = aSession.line.command->action;
  if (action == "put") {
    return put(aSession,
               &Stub::List,
               &v1::ServerList::servers,
               &Stub::Put,
               &v1::PutServerRequest::mutable_server);
  }
  if (action == "drain") {
    return change(aSession, &Stub::Drain, "draining");
  }
  if (action == "bring-back") {
    return change(aSession, &Stub::BringBack, "brought back");
  }
  if (action == "withdraw") {
    return change(aSession, &Stub::Withdraw, "withdrawn");
  }
  BOOST_LEAF_AUTO(servers, aSession.client.call(&Stub::List, v1::ListRequest()));
  filter(*servers.mutable_servers(), [&](const auto& aServer) {
    return isListed(aSession.line, "pool", aServer.pool()) &&
           isListed(aSession.line, "failure-domain", aServer.failure_domain());
  });
  printList(aSession, servers);
  return {};
}

}
