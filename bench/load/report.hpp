#pragma once

#include "client.hpp"
#include "flow.hpp"

#include <map>
#include <ostream>
#include <vector>

namespace mustardplank::load {

/// Value at aPart (0 to 1) of the sorted values; 0 when there are none. Reorders aValues.
double
percentile(std::vector<float>& aValues, double aPart);

/// Prints "name=value" lines over all flows and for each flow.
void
printReport(std::ostream& aOut,
            const std::vector<Flow>& aFlows,
            const std::vector<Record>& aRecords,
            std::vector<std::vector<float>> aGaps,
            double aSeconds);

/// One line for each request, with a heading.
void
writeCsv(std::ostream& aOut, const std::vector<Flow>& aFlows, const std::vector<Record>& aRecords);

}
