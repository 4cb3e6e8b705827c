// gooseberrymill, decision core.
//
// Index of this header:
//
// [SECTION] What this is
// [SECTION] How to use it
// [SECTION] Modules

//-----------------------------------------------------------------------------
// [SECTION] What this is
//-----------------------------------------------------------------------------
// The decisions of a proxy fleet for upstreams with gray failures, as a library without I/O. No
// clock, no socket, no thread: callers pass plain values and the time, and get plain values back.
// GLib is not needed. The daemon `gooseberrymill` is built on the same code.

//-----------------------------------------------------------------------------
// [SECTION] How to use it
//-----------------------------------------------------------------------------
// - Link the CMake target `gooseberrymill-core` and include this header.
// - Keep one object per thing that has a life of its own: one AdmissionQueue per upstream, one
//   Balancer per entry, one Membership per process.
// - No object is thread-safe. Give each to one thread and talk to it by messages.
// - `now` is monotonic. Passing a time earlier than the last one is misuse and asserts.
// - Randomness comes from a seed passed to the constructor, so runs can be repeated.
// - examples/EmbedCore.cpp is a small complete program.

//-----------------------------------------------------------------------------
// [SECTION] Modules
//-----------------------------------------------------------------------------
#pragma once

#include "core/Admission.h" // concurrency limit and queue of one upstream
#include "core/AdmissionQueue.h" // weighted fair queue with early shedding
#include "core/Balancer.h" // choice of an upstream, power of two choices in the nearest tier
#include "core/BaselineDetectors.h" // baselines of the Detector concept
#include "core/Basics.h" // time, identifiers, outcomes, errors
#include "core/ClaimLedger.h" // claims of idempotency keys in the store
#include "core/Configuration.h" // services, routes, policies
#include "core/ConfigurationLedger.h" // documents in force and how they spread
#include "core/Ejection.h" // floor-safe ejection
#include "core/FifoAdmission.h" // baseline of AdmissionQueue
#include "core/Health.h" // evidence and verdicts
#include "core/HealthMonitor.h" // detection of unhealthy upstreams
#include "core/LeastOutstandingBalancer.h" // baseline of Balancer
#include "core/Membership.h" // failure detection and dissemination
#include "core/ObjectStore.h" // the platform's store, as a concept
#include "core/OperationTable.h" // at-most-once execution at one executor
#include "core/PathMonitor.h" // path evidence of an entry
#include "core/QueryOfDeathFilter.h" // requests that crash upstreams
#include "core/RelayMessages.h" // messages between nodes
#include "core/Replay.h" // replay of a trace in virtual time
#include "core/RetryBudget.h" // bound on retries, decision on another attempt
#include "core/RoundRobinBalancer.h" // baseline of Balancer
#include "core/Trace.h" // traces of decision events: format and generator
#include "core/TraceRecorder.h" // records an executor's requests as a trace
#include "core/UpstreamCondition.h" // states, probation and ramp of an upstream
