// The accepted configuration: services, routes and their policies, and the table that matches requests to routes.
#pragma once

#include "Organisations.h"

namespace Gooseberrymill {

// Sensitivity of failure detection. A stricter policy detects faults sooner but ejects more healthy upstreams.
struct DetectionPolicy {
    double falseAlarmsPerUpstreamYear = 0.1; // accepted alarms per healthy upstream and year; sets the alarm threshold
    double slowRatio = 5.0; // service time relative to that of peers from which an upstream must be detected as slow
    double failureShare = 0.2; // share (0..1) of failed or wrong responses that must be detected
    Duration probation = 30s; // length of the first ejection; doubles with each further one
    Duration maxProbation = 30min; // upper bound of the doubled length
    Duration ramp = 30s; // time in which a started or readmitted upstream ramps up to its full share
    bool operator==(const DetectionPolicy&) const = default;
};

// Limits and priorities of the queue in front of an upstream.
struct AdmissionPolicy {
    uint32_t queueLimit = 200; // maximum number of queued requests per upstream
    uint32_t shortWorkSlots = 1; // slots kept free of requests that are expected to be long
    double longWorkRatio = 10.0; // a request counts as long above this multiple of the service's median service time
    // Scheduling weights by WorkClass, used while requests are queued.
    std::array<uint32_t, workClassCount> weights { 8, 4, 2, 1 };
    bool operator==(const AdmissionPolicy&) const = default;
};

// Limits of retries and hedged requests.
struct RetryPolicy {
    double budgetShare = 0.1; // retry budget: maximum of retries and hedged requests as a share of all requests
    uint32_t maxAttempts = 3; // attempts per request, including the first
    bool hedge = false; // whether repeatable reads may be hedged in the same region; entries do not hedge yet
    bool operator==(const RetryPolicy&) const = default;
};

// Conditions that a correct response of a route meets. Any other response counts as wrong in failure detection.
struct AnswerCheck {
    std::vector<uint16_t> statuses; // accepted status codes; empty: any below 500
    std::string contentType; // required content type; empty: any
    std::string requiredHeader; // header that must be present; empty: none
    uint64_t minBytes = 0; // minimum size of the body
    bool operator==(const AnswerCheck&) const = default;
};

// One target of a weighted traffic split of a route.
struct WeightedService {
    std::string service;
    uint32_t weight = 1; // relative to the sum of the route's weights
    bool operator==(const WeightedService&) const = default;
};

struct Route {
    std::string name;
    std::string host {}; // host name without port; empty: any host
    std::vector<std::string> methods; // allowed HTTP methods; empty: any
    std::string path; // an exact path, or a prefix that ends in "*", such as "/prefix/*"
    bool repeatable = false; // whether a request may be executed more than once, so that retries are safe
    bool internal = false; // whether only callers that name a configured service may use the route
    WorkClass workClass = WorkClass::Interactive;
    Duration deadline = 10s; // time limit of a request; a request may set a shorter one
    uint64_t maxBodyBytes = 1 << 20; // maximum size of a request body
    AnswerCheck check;
    std::vector<WeightedService> split {}; // traffic split; empty: the service that owns the route serves all requests
    // Whether this is a copy of another service's route, for the requests split off to this service. Never matched
    // directly.
    bool isSplitTarget = false;
    uint32_t maxAttempts = 0; // upstreams that one request may be sent to; 0: RetryPolicy::maxAttempts of the service
    bool isPublic = false; // callers need no key, even if the configuration has organisations
    bool operator==(const Route&) const = default;
};

struct Service {
    std::string name;
    uint32_t upstreams = 0; // planned number of upstreams
    uint32_t slots = 1; // maximum of concurrent requests per upstream
    uint32_t floorSlots = 0; // minimum of healthy slots that must remain after an ejection
    Duration retention = 24h; // how long idempotency keys and operation outcomes are kept
    std::vector<Route> routes;
    DetectionPolicy detection;
    AdmissionPolicy admission;
    RetryPolicy retry;
    bool operator==(const Service&) const = default;
};

// One configuration document. It takes effect as a whole.
struct Configuration {
    std::string name = "main";
    uint64_t version = 0; // object version in the store; 0 until the document is accepted
    std::string changeId; // unique per write; shows whether a write whose response was lost took effect
    std::string author;
    std::vector<Service> services;
    std::vector<Organisation> organisations; // if empty, callers need no key
    bool operator==(const Configuration&) const = default;
};

// Copies each route with a traffic split to the other services of the split, so that their executors have a route for
// the requests they receive.
void addSplitTargets(Configuration&);

// Lookup table of the routes of all active documents. Immutable, so that tasks can share it.
class RouteTable {
public:
    struct Match {
        const Service* service = nullptr;
        const Route* route = nullptr;
    };

    RouteTable() = default;
    explicit RouteTable(std::vector<std::shared_ptr<const Configuration>> documents);

    // Returns the most specific matching route, or empty when none matches. A route of the host precedes one of any
    // host, an exact path precedes a prefix, and a longer prefix precedes a shorter one. The query string of `target`
    // and the port of `host` are ignored.
    std::optional<Match> match(std::string_view method, std::string_view target, std::string_view host = {}) const;

    const Service* service(std::string_view name) const; // null when there is no such service

    // Selects a service of the route's traffic split in proportion to the weights, and returns the route's copy there.
    // `draw` is a uniformly distributed random number; equal values select the same service.
    Match drawSplit(const Match&, uint64_t draw) const;

    const OrganisationTable& organisations() const { return m_organisations; } // of all documents

    std::span<const std::shared_ptr<const Configuration>> documents() const { return m_documents; }
    size_t routeCount() const { return m_routeCount; }

private:
    std::optional<Match> matchHost(std::string_view method, std::string_view path, std::string_view host) const;

    struct Entry {
        std::string_view host; // empty: any host
        std::string_view prefix; // path of the route without the trailing "*"
        bool exact = false; // whether the whole request path must be equal to `prefix`
        Match match;
    };

    std::vector<std::shared_ptr<const Configuration>> m_documents;
    std::vector<Entry> m_entries; // sorted by host, then prefix
    std::vector<const Service*> m_services; // sorted by name
    OrganisationTable m_organisations;
    size_t m_routeCount = 0;
};

} // namespace Gooseberrymill
