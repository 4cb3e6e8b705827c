// One accepted configuration: services, routes and policy settings. Immutable once built.
#pragma once

#include "Basics.h"
#include <memory>

namespace Gooseberrymill {

// How strictly an upstream is judged. Deployments weigh detection time against false ejections here.
struct DetectionPolicy {
    double falseAlarmsPerUpstreamYear = 0.1; // alarms on a healthy upstream; the alarm level derives from it
    double slowRatio = 5.0; // service time against peers that must be detected
    double failureShare = 0.2; // share of failing or wrong answers that must be detected
    Duration probation = 30s; // first ejection; doubles on each further one
    Duration maxProbation = 30min;
    Duration ramp = 30s; // time from cold or readmitted to the full share
    bool operator==(const DetectionPolicy&) const = default;
};

struct AdmissionPolicy {
    uint32_t queueLimit = 200; // waiting requests per upstream
    uint32_t shortWorkSlots = 1; // slots that work expected to be long may not take
    double longWorkRatio = 10.0; // expected length against the service's median that counts as long
    std::array<uint32_t, workClassCount> weights { 8, 4, 2, 1 }; // shares when slots are short, by WorkClass
    bool operator==(const AdmissionPolicy&) const = default;
};

struct RetryPolicy {
    double budgetShare = 0.1; // retries and hedges as a share of offered requests
    uint32_t maxAttempts = 3; // attempts of one request, the first included
    bool hedge = false; // second attempt of repeatable reads in the same region
    bool operator==(const RetryPolicy&) const = default;
};

// What a good answer of a route must have; anything else counts as a wrong answer.
struct AnswerCheck {
    std::vector<uint16_t> statuses; // empty: any status below 500
    std::string contentType; // empty: any
    std::string requiredHeader; // empty: none
    uint64_t minBytes = 0;
    bool operator==(const AnswerCheck&) const = default;
};

// A share of the requests of a route that several services serve.
struct WeightedService {
    std::string service;
    uint32_t weight = 1; // relative to the sum of the route's weights
    bool operator==(const WeightedService&) const = default;
};

struct Route {
    std::string name;
    std::string host {}; // without port; empty: any host
    std::vector<std::string> methods; // empty: any method
    std::string path; // "/exact" or "/prefix/*"
    bool repeatable = false; // may be sent to an upstream more than once
    bool internal = false; // only for callers that name an internal service
    WorkClass workClass = WorkClass::Interactive;
    Duration deadline = 10s; // patience of the caller, unless the request brings a shorter one
    uint64_t maxBodyBytes = 1 << 20;
    AnswerCheck check;
    std::vector<WeightedService> split {}; // empty: the service that lists the route serves all of it
    bool isSplitTarget = false; // listed for the requests that another service's route splits off; never matched
    uint32_t maxAttempts = 0; // upstreams that one request may be sent to; 0: as the service's retry policy says
    bool operator==(const Route&) const = default;
};

struct Service {
    std::string name;
    uint32_t upstreams = 0; // planned number of upstreams
    uint32_t slots = 1; // concurrent requests per upstream
    uint32_t floorSlots = 0; // healthy capacity that ejections must leave
    Duration retention = 24h; // how long operation keys and outcomes are kept
    std::vector<Route> routes;
    DetectionPolicy detection;
    AdmissionPolicy admission;
    RetryPolicy retry;
    bool operator==(const Service&) const = default;
};

// One configuration document, applied as a whole.
struct Configuration {
    std::string name = "main";
    uint64_t version = 0; // the store's version; 0 before it was accepted
    std::string changeId; // settles whether a write whose answer was lost took effect
    std::string author;
    std::vector<Service> services;
    bool operator==(const Configuration&) const = default;
};

// Lists each route with a split at the other services of the split, so that their executors know it.
void addSplitTargets(Configuration&);

// Routes of all documents in force, compiled for lookup. Immutable; shared between tasks.
class RouteTable {
public:
    struct Match {
        const Service* service = nullptr;
        const Route* route = nullptr;
    };

    RouteTable() = default;
    explicit RouteTable(std::vector<std::shared_ptr<const Configuration>> documents);

    // Most specific route: one of the host before one of any host, an exact path before a prefix, a longer
    // prefix before a shorter one. `target` is the request path, a query string is ignored; `host` may carry a
    // port, which is ignored. Empty when no route matches.
    std::optional<Match> match(std::string_view method, std::string_view target, std::string_view host = {}) const;

    const Service* service(std::string_view name) const; // null when unknown

    // The match at the service that a draw gives, by the weights of the route's split. `draw` is any uniform number.
    Match drawSplit(const Match&, uint64_t draw) const;

    std::span<const std::shared_ptr<const Configuration>> documents() const { return m_documents; }
    size_t routeCount() const { return m_routeCount; }

private:
    std::optional<Match> matchHost(std::string_view method, std::string_view path, std::string_view host) const;

    struct Entry {
        std::string_view host; // empty: any
        std::string_view prefix; // of the route's path, without the trailing "*"
        bool exact = false;
        Match match;
    };

    std::vector<std::shared_ptr<const Configuration>> m_documents;
    std::vector<Entry> m_entries; // sorted by host, then prefix
    std::vector<const Service*> m_services; // sorted by name
    size_t m_routeCount = 0;
};

} // namespace Gooseberrymill
