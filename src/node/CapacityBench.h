// Measures what a node holds and does per entry, on the real code, at three or more sizes each.
#pragma once

#include "MembershipBench.h"

namespace Gooseberrymill {

struct CapacityBenchOptions {
    std::vector<size_t> nodeCounts { 200, 1000, 6100 };
    std::vector<size_t> routeCounts { 1000, 10000, 36000 };
    size_t serviceCount = 3900; // at `referenceNodes`; scaled down with the nodes
    size_t referenceNodes = 6100;
    size_t upstreamsPerNode = 15;
    size_t workers = 4;
    double requestsPerSecond = 213; // at one entry: 1.3 million over 6,100 nodes
    Duration gossipLength = 60s; // virtual time of each phase of the membership bench
    size_t repeats = 5; // of each timing; the least is reported
};

struct CapacityRow {
    std::string item; // "claims"
    std::string measure; // "bytes in the table per claim"
    size_t size = 0; // entries held
    double value = 0;
    std::string unit;
};

// Parts of the bench. Sizes are entries unless the name says otherwise.
std::vector<CapacityRow> benchMembership(const CapacityBenchOptions&);
std::vector<CapacityRow> benchCandidates(const CapacityBenchOptions&); // lists and balancers
std::vector<CapacityRow> benchRoutes(const CapacityBenchOptions&); // route table, documents, ledger
std::vector<CapacityRow> benchClaims(const CapacityBenchOptions&);
std::vector<CapacityRow> benchOperations(const CapacityBenchOptions&);
std::vector<CapacityRow> benchHealth(const CapacityBenchOptions&); // monitors and the summaries' datagrams
std::vector<CapacityRow> benchRosters(const CapacityBenchOptions&);
std::vector<CapacityRow> benchCrashSuspects(const CapacityBenchOptions&);
std::vector<CapacityRow> benchRelay(const CapacityBenchOptions&);

std::vector<CapacityRow> runCapacityBench(const CapacityBenchOptions&); // all parts
std::string formatCapacity(std::span<const CapacityRow>); // text table
std::string formatCapacityCsv(std::span<const CapacityRow>);

// Value of a measure at a size; asserts that it was measured.
double valueOf(std::span<const CapacityRow>, std::string_view item, std::string_view measure, size_t size);

// `bench capacity [text|csv]`.
int runCapacityCommand(std::span<const std::string> arguments);

} // namespace Gooseberrymill
