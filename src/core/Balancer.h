// Choice of an upstream by an entry.
#pragma once

#include "Configuration.h"

namespace Gooseberrymill {

// One candidate upstream as an entry sees it.
struct Candidate {
    std::string upstream;
    std::string service;
    std::string node; // name of the node beside it
    std::string relayAddress; // "ip:port"
    Id128 executor; // incarnation of that node
    Location location;
    uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready;
    double share = 1; // 0..1, below 1 while ramping up
};

// All candidates known to an entry; immutable, replaced as a whole when membership changes.
using CandidateList = std::vector<Candidate>; // sorted by service, then upstream

struct BalanceRequest {
    std::string_view service;
    WorkClass workClass = WorkClass::Interactive;
    bool repeatable = false;
    std::optional<Id128> affinity; // idempotency key; prefers the executor given by rendezvous hashing
    std::span<const std::string> exclude; // upstreams already tried
};

// Chooses an upstream and learns from answers.
template <typename T>
concept Balancing = requires(T balancer, std::shared_ptr<const CandidateList> candidates, const BalanceRequest& request,
    std::string_view upstream, const LoadReport& load, std::string_view node, bool reached, Instant now)
{
    { balancer.setCandidates(candidates, now) };
    {
        balancer.choose(request, now)
        } -> std::same_as<const Candidate*>; // null when none is usable; valid until setCandidates
    { balancer.started(upstream, now) }; // the entry sent a request there
    { balancer.finished(upstream, load, now) }; // an answer or refusal brought a load report
    { balancer.abandoned(upstream, now) }; // no answer came
    { balancer.pathResult(node, reached, now) }; // path evidence about a node
};

} // namespace Gooseberrymill
