// Decision core of gooseberrymill.
//
// Index of this header:
//
// [SECTION] Overview
// [SECTION] Usage
// [SECTION] Modules

//-----------------------------------------------------------------------------
// [SECTION] Overview
//-----------------------------------------------------------------------------
// This library makes the decisions of a proxy fleet whose upstreams may suffer gray failures: load
// balancing, admission, failure detection, ejection, retries and at-most-once execution. It does no I/O
// and uses no clock, socket or thread: callers pass plain values and the time, and get plain values back.
// It does not depend on GLib. The daemon `gooseberrymill` is built on the same code.

//-----------------------------------------------------------------------------
// [SECTION] Usage
//-----------------------------------------------------------------------------
// - Link the CMake target `gooseberrymill-core` and include this header.
// - Create one object per entity that it decides for: one AdmissionQueue per upstream, one Balancer
//   per entry, one Membership per process.
// - No object is thread-safe. Use each object from a single thread and pass messages to that thread.
// - `now` is a monotonic time. Passing a time earlier than the last one is misuse and asserts.
// - Random numbers come from a seed passed to the constructor, so runs are reproducible.
// - examples/EmbedCore.cpp is a small complete program.

//-----------------------------------------------------------------------------
// [SECTION] Modules
//-----------------------------------------------------------------------------
#pragma once

#include "core/Admission.h" // concept of an admission queue: concurrency limit and queue of one upstream
#include "core/AdmissionQueue.h" // admission queue: weighted fair queueing with early shedding
#include "core/Backpressure.h" // what an upstream asks of its callers: a lower rate, or no new requests
#include "core/Balancer.h" // selection of an upstream: power of two choices in the nearest tier
#include "core/BaselineDetectors.h" // simple detectors, baselines for comparison with HealthMonitor
#include "core/Basics.h" // time, identifiers, outcomes, errors
#include "core/ClaimLedger.h" // claims of idempotency keys in the store
#include "core/Configuration.h" // services, routes, policies
#include "core/ConfigurationLedger.h" // configuration documents in force and their propagation
#include "core/DirectoryRepair.h" // node records in the store after it came back from an older copy
#include "core/DrainPlan.h" // requests that a process takes and answers while it shuts down
#include "core/Ejection.h" // ejection of upstreams that keeps a floor of capacity
#include "core/FifoAdmission.h" // first-in first-out queue, baseline for comparison with AdmissionQueue
#include "core/Health.h" // samples, summaries and verdicts about the health of an upstream
#include "core/HealthMonitor.h" // detection of unhealthy upstreams by comparison with their peers
#include "core/LeastOutstandingBalancer.h" // baseline for comparison with Balancer
#include "core/Membership.h" // membership of the fleet: failure detection and dissemination
#include "core/ObjectStore.h" // concept of the object store of the platform
#include "core/OperationTable.h" // at-most-once execution at one executor
#include "core/PathMonitor.h" // reachability of nodes as seen by one entry
#include "core/QueryOfDeathFilter.h" // refusal of requests that crash upstreams
#include "core/RateLimiter.h" // rate limit of one upstream
#include "core/RelayMessages.h" // messages between nodes over TCP
#include "core/Replay.h" // replay of a trace in virtual time
#include "core/RetryBudget.h" // limit on retries and decision on another attempt
#include "core/RoundRobinBalancer.h" // baseline for comparison with Balancer
#include "core/StoreHistory.h" // eras of a store that may come back from an older copy
#include "core/Trace.h" // traces of requests and faults: format and generator
#include "core/TraceRecorder.h" // records an executor's requests as a trace
#include "core/UpstreamCondition.h" // state of an upstream, with probation and ramp-up after readmission
