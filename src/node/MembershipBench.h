// Measures the cost of membership at one node: memory, CPU, bytes sent.
#pragma once

#include "core/Membership.h"

namespace Gooseberrymill {

struct MembershipBenchOptions {
    std::vector<size_t> nodeCounts { 200, 1000, 6100 };
    size_t upstreamsPerNode = 15;
    size_t serviceCount = 3900; // at the target scale; scaled down with the nodes
    double restartsPerDay = 22000; // at `referenceNodes`; scaled down with the nodes
    size_t referenceNodes = 6100;
    size_t dataCentres = 6;
    bool sendsHealth = false; // summaries of all own upstreams every 500 ms
    Duration length = 60s; // virtual time of each phase
    uint64_t seed = 1;
};

struct MembershipBenchRow {
    size_t nodes = 0;
    size_t upstreams = 0;
    double bytesTotal = 0; // of memory, by the allocator's statistics
    double bytesPerNode = 0; // with its upstreams
    double bytesPerUpstream = 0;
    double candidateBytes = 0; // of one CandidateList
    double candidateMillis = 0; // to build it
    double tickMicros = 0; // CPU
    double receiveMicros = 0; // CPU per received datagram, decoding included
    double cpuShare = 0; // of a core, in the phase of restarts
    double sentPerSecond = 0; // bytes, in the phase of restarts
    double lossSentPerSecond = 0; // bytes, in the phase after the loss of a data centre
    double lossPeakPerSecond = 0; // bytes, in the worst second of that phase
    size_t lossQueue = 0; // updates not yet spread at its end
};

std::vector<MembershipBenchRow> runMembershipBench(const MembershipBenchOptions&);

std::string formatMembershipBench(std::span<const MembershipBenchRow>); // text table
std::string formatMembershipBenchCsv(std::span<const MembershipBenchRow>);

} // namespace Gooseberrymill
