#pragma once

#include <mustardplank.pb.h>

#include <string>

namespace mustardplank::ctl {

// Text for people, as aligned tables.

std::string
render(const v1::OrganisationList& aList);

std::string
render(const v1::KeyList& aList);

std::string
render(const v1::ClassList& aList);

std::string
render(const v1::FailureDomainList& aList);

std::string
render(const v1::PoolList& aList);

std::string
render(const v1::ServerList& aList);

/// What is wrong comes first, then pools, instances and duties.
std::string
render(const v1::StatusReport& aReport);

/// Which revision is in force where.
std::string
renderInstances(const v1::StatusReport& aReport);

/// Queues and backend servers of the pools.
std::string
renderTop(const v1::StatusReport& aReport);

std::string
render(const v1::WatchEvent& aEvent);

/// One line of JSON with the field names of the .proto file.
std::string
toJson(const google::protobuf::Message& aMessage);

}
