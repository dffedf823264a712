#pragma once

#include "mustardplank/agent/datagram.hpp"
#include "mustardplank/agent/directory.hpp"
#include "mustardplank/agent/load_messages.hpp"
#include "mustardplank/agent/work_factor_relay.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::agent {

/// Collects the load that the other instances placed on each server some hundredths of a second
/// ago. Does no I/O; times are of the boot clock. Messages may be lost, doubled or reordered: each
/// one replaces what it is about.
///
/// Load pattern: hundreds of instances before a hundred engines. Each instance sees too few
/// responses to know the queues of the engines from them, so that bursts pile up at some engines
/// while others are idle. Instances report their load to the agents of their failure domain, agents
/// exchange the sums of their domains and return the total: messages grow with the number of
/// instances and of servers, not with their product. The first agent sends; the second one does
/// while it hears nothing from the first. The instances of a failure domain times the servers may
/// be more than the link of a small agent takes, where requests would wait behind them: it states
/// loads less often then. Without agents there is no table, and placement goes by what the instance
/// sees itself.
///
/// What servers state about their work factor travels with the loads: only what is new, with its
/// age, which grows by the time that it waits on the way. The time of a datagram on the network and
/// in the socket does not count.
class LoadExchange
{
public:
  LoadExchange(InstanceId aInstance,
               FailureDomainId aDomain,
               std::string aAddress,
               std::uint64_t aIncarnation);

  /// Limit on what this instance sends as an agent, in bytes a second; nothing: none. Loads are
  /// stated less often then, at most kRepeatInterval apart.
  void setByteRate(std::optional<double> aBytesPerSecond) { mByteRate = aBytesPerSecond; }
  void setDirectory(const Directory& aDirectory);
  /// The load that this instance places on servers has changed.
  void setOwnLoads(dispatch::InstanceLoads aLoads);
  /// Adds what servers have stated to this instance.
  void addOwnWorkFactors(const dispatch::WorkFactorReports& aReports, TimePoint aNow);
  /// Returns false for a message that aSender, an "ip:port", may not send: tables and loads of
  /// failure domains come from agents in the directory, a report from the address it names.
  bool receive(const LoadMessage& aMessage, const std::string& aSender, TimePoint aNow);
  /// Datagrams that are to be sent now.
  std::vector<Datagram> takeDue(TimePoint aNow);
  /// When takeDue() has something next.
  TimePoint nextAt(TimePoint aNow) const;
  /// The other agents of the failure domain; for an agent also those of the other failure domains
  /// and the instances of its own.
  Neighbours neighbours() const;
  /// Whether the address is that of an agent, or of an instance that reports to this agent.
  bool isNeighbour(const std::string& aAddress) const;
  bool isAgent() const { return mSlot.has_value(); }
  /// Whether the address is that of another agent.
  bool isAgentAddress(const std::string& aAddress) const;
  /// Load of the other instances, if it is known anew since the last call.
  std::optional<dispatch::InstanceLoads> takeOthersLoads();
  /// What servers have stated to other instances, as far as it came since the last call.
  dispatch::WorkFactorReports takeOthersWorkFactors();

private:
  struct Member
  {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string address;
    dispatch::InstanceLoads loads;
    TimePoint receivedAt{};
  };
  struct RemoteDomain
  {
    dispatch::InstanceLoads loads;
    TimePoint receivedAt{};
  };

  bool mayAccept(const LoadReport& aReport, const std::string& aSender) const;
  bool mayAccept(const DomainLoads& aLoads, const std::string& aSender) const;
  bool mayAccept(const LoadTable& aTable, const std::string& aSender) const;
  void apply(const LoadReport& aReport, TimePoint aNow);
  void apply(const DomainLoads& aLoads, TimePoint aNow);
  void apply(const LoadTable& aTable, TimePoint aNow);
  void addWorkFactors(const std::vector<AgedWorkFactor>& aReports,
                      std::initializer_list<WorkFactorRelay::Recipient> aRecipients,
                      TimePoint aNow);
  /// Addresses, "ip:port", of the other agents of this failure domain.
  std::vector<std::string> ownAgents() const;
  bool isReportChanged() const;
  bool isDomainChanged() const;
  bool isTotalChanged() const;
  /// This instance is to send tables: it is the first agent, or has received no table from those
  /// before it.
  bool sendsTables(TimePoint aNow) const;
  void expire(TimePoint aNow);
  /// Sum over the instances of this failure domain.
  dispatch::InstanceLoads domainLoads() const;
  void addReports(std::vector<Datagram>& aOut, TimePoint aNow);
  void addDomainLoads(std::vector<Datagram>& aOut, TimePoint aNow);
  void addTables(std::vector<Datagram>& aOut, TimePoint aNow);
  /// aInterval, or longer if the datagrams from aOut[aFirst] on would take more than aShare of the
  /// limit when sent so often.
  Duration pacedInterval(Duration aInterval,
                         const std::vector<Datagram>& aOut,
                         std::size_t aFirst,
                         double aShare) const;

  InstanceId mInstance;
  FailureDomainId mDomain;
  std::string mAddress;
  std::uint64_t mIncarnation;
  /// Of this failure domain, without this instance.
  AgentList mOwnAgents;
  AgentList mOtherAgents;
  Directory mDirectory;
  std::optional<std::size_t> mSlot;

  dispatch::InstanceLoads mOwnLoads;
  bool mOwnChanged = false;
  std::uint64_t mSequence = 0;
  /// Reports that a table may contain, by sequence number.
  std::deque<std::pair<std::uint64_t, dispatch::InstanceLoads>> mReported;
  TimePoint mReportedAt{};

  std::map<InstanceId, Member> mMembers;
  std::map<FailureDomainId, RemoteDomain> mRemoteDomains;
  std::optional<double> mByteRate;
  bool mDomainChanged = false;
  TimePoint mDomainSentAt{};
  Duration mDomainInterval{};
  bool mTotalChanged = false;
  TimePoint mTableSentAt{};
  Duration mTableInterval{};

  WorkFactorRelay mWorkFactors;

  /// The latest table, as received.
  dispatch::InstanceLoads mTable;
  std::optional<TimePoint> mTableReceivedAt;
  std::optional<dispatch::InstanceLoads> mOthersLoads;
};

}
