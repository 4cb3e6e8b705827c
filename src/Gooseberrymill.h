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
#include "core/Balancer.h" // choice of an upstream
#include "core/Basics.h" // time, identifiers, outcomes, errors
#include "core/Configuration.h" // services, routes, policies
#include "core/Ejection.h" // floor-safe ejection
#include "core/Health.h" // evidence and verdicts
#include "core/HealthMonitor.h" // detection of unhealthy upstreams
#include "core/Membership.h" // failure detection and dissemination
#include "core/ObjectStore.h" // the platform's store, as a concept
#include "core/PathMonitor.h" // path evidence of an entry
#include "core/RelayMessages.h" // messages between nodes
#include "core/UpstreamCondition.h" // states, probation and ramp of an upstream
