// Embeds the decision core without GLib: routes a request, selects an upstream, passes the upstream's admission
// queue, and runs an operation at most once. Time is a plain value, so the program needs no clock.
#include "Gooseberrymill.h"

#include <fmt/format.h>

using namespace Gooseberrymill;

namespace {

Service makeService()
{
    Service service;
    service.name = "bayaran";
    service.upstreams = 2;
    service.slots = 7;
    service.floorSlots = 7;
    Route& route = service.routes.emplace_back();
    route.name = "payout";
    route.path = "/bayaran/payouts";
    route.methods = { "POST" };
    route.workClass = WorkClass::Critical;
    return service;
}

std::shared_ptr<const CandidateList> makeCandidates()
{
    auto candidates = std::make_shared<CandidateList>();
    for (std::string name : { "bayaran-1", "bayaran-2" }) {
        Candidate candidate;
        candidate.upstream = name;
        candidate.service = "bayaran";
        candidate.node = "node-of-" + name;
        candidate.location = Location { "borneo", "borneo-1" };
        candidate.slots = 7;
        candidates->push_back(std::move(candidate));
    }
    return candidates;
}

} // namespace

int main()
{
    Instant now { 1h };
    WallTime wallNow { std::chrono::hours(500'000) };

    // Configuration: build the route table of one accepted configuration document.
    auto document = std::make_shared<Configuration>();
    document->services.push_back(makeService());
    RouteTable table({ document });
    auto match = table.match("POST", "/bayaran/payouts");
    if (!match)
        return 1;
    fmt::print("route {} of service {}\n", match->route->name, match->service->name);

    // Entry: select an upstream.
    Balancer balancer(Location { "borneo", "borneo-1" }, 1);
    balancer.setCandidates(makeCandidates(), now);
    BalanceRequest balanceRequest;
    balanceRequest.service = match->service->name;
    balanceRequest.workClass = match->route->workClass;
    const Candidate* candidate = balancer.choose(balanceRequest, now);
    if (!candidate)
        return 1;
    fmt::print("upstream {}\n", std::string_view(candidate->upstream));

    // Executor: issue an operation token of this incarnation, pass the admission queue, run the operation, and
    // answer a duplicate request without a second run.
    OperationTable operations({ 1, 1 }, {});
    AdmissionQueue queue(*match->service);
    OperationRequest request;
    request.kind = OperationKind::Token;
    request.operation = { 7, 7 };
    request.service = match->service->name;
    operations.issueToken(request.operation, request.service, now);
    if (operations.begin(request, 1, now, wallNow).step != OperationStep::Run)
        return 1;
    AdmissionRequest admission { 1, match->route->workClass, 0, now + match->route->deadline };
    if (queue.offer(admission, now).verdict != AdmissionVerdict::Dispatch || !operations.dispatched(request.operation))
        return 1;
    now += 20ms;
    queue.finish(1, 20ms, true, now);
    operations.finished(request.operation, { 201, {}, "paid" }, true, now);
    OperationDecision duplicate = operations.begin(request, 2, now, wallNow);
    fmt::print(
        "a duplicate request gets the recorded answer: {}\n", duplicate.answer ? duplicate.answer->body : "none");
    return duplicate.answer ? 0 : 1;
}
