#pragma once

#include "mustardplank/lease/lease.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mustardplank::lease {

/// Something that only the holder of a duty may order.
struct Order
{
  /// The receiver recognises repeats by it, also from another holder.
  OperationId operation;
  LeaseKey key;
  /// JSON; what it says is the business of those who give and execute the order.
  std::string payload;
};

/// Send the order, after asking mayExecute() at that moment, and report with executed().
struct Execute
{
  Order order;
  Offset fence = 0;
};

/// The order's outcome is in the log.
struct Settled
{
  Order order;
  /// As given to executed(), for example the id of the server started.
  std::string outcome;
};

using JournalEffect = std::variant<AppendRecord, Execute, Settled>;

enum class Execution
{
  /// The receiver answered, with success or a final refusal such as "not available".
  Answered,
  /// Certain to have had no effect; tried again.
  NotSent,
  /// May have had an effect; sent again under the same operation id, by which the receiver
  /// recognises it.
  Unknown,
};

struct JournalOptions
{
  /// After which an append is repeated that was not read back, or an order tried again.
  Duration retry = Seconds(2);
  /// Settled orders by which repeats are recognised; follows log order, so equal on all instances.
  std::size_t rememberedOperations = 4096;
  /// Switched off only by tests: intents of older fencing tokens count as well.
  bool checkFence = true;
};

/// Orders with an intent in the log before and an outcome after each. What a holder leaves
/// unresolved, its successor takes up with the same operation id under its own fencing token.
class OrderJournal
{
public:
  explicit OrderJournal(JournalOptions aOptions = {});

  /// Takes an order in. It is dropped when this instance stops holding the duty before the intent
  /// is in the log; a known operation is ignored.
  void submit(Order aOrder);
  /// Takes in one log entry; aTable has taken it in before.
  std::vector<JournalEffect> apply(const LogEntry& aEntry, const LeaseTable& aTable);
  std::vector<JournalEffect> tick(TimePoint aNow, const LeaseHolder& aHolder);
  /// Whether the order may be sent at this moment.
  bool mayExecute(const Execute& aExecute, TimePoint aNow, const LeaseHolder& aHolder) const;
  void executed(const Execute& aExecute, Execution aExecution, std::string aOutcome);

  /// Orders without outcome in the log, oldest first.
  std::vector<Order> unresolved() const;

private:
  struct Entry
  {
    Order order;
    /// Fencing token of the latest valid intent; none while no intent was read.
    std::optional<Offset> fence;
    /// Offset of that intent.
    Offset intent = 0;
    bool settled = false;
    bool executing = false;
    /// Of an execution that the log does not know yet.
    std::optional<std::string> outcome;
    std::optional<TimePoint> lastTry;
  };

  using Entries = std::unordered_map<OperationId, Entry>;

  void applyIntent(const LogEntry& aEntry, const LeaseTable& aTable);
  void dropRefuted(const LeaseTable& aTable);
  static bool isRefuted(const Entry& aEntry, const LeaseTable& aTable);
  std::optional<JournalEffect> applyOutcome(const nlohmann::json& aRecord);
  std::optional<JournalEffect> step(Entry& aEntry, Offset aFence, TimePoint aNow);
  void settle(Entry& aEntry);

  JournalOptions mOptions;
  Entries mEntries;
  /// Unsettled operations in the order in which they came.
  std::deque<OperationId> mOpen;
  std::deque<OperationId> mSettled;
  std::optional<Offset> mNext;
};

}
