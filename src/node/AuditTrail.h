// Audit trail: records who or what changed the fleet, when and why. Each node stores its events in batches, as objects
// `audit/<node>-<n>`.
#pragma once

#include "core/ObjectStore.h"
#include "FleetAuth.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace Gooseberrymill {

constexpr std::string_view auditKind = "audit";

enum class AuditEventKind : uint8_t {
    ConfigurationAccepted,
    ConfigurationRefused,
    ConfigurationInForce,
    Ejection,
    Readmission,
    Degraded,
    Drain,
    QueryOfDeath,
    WatchTakeover, // this node became a watcher of the store
    OperationResolved,
    NodeStarted,
    NodeStopped,
};
constexpr size_t auditEventKindCount = 12;

std::string_view toString(AuditEventKind);
std::optional<AuditEventKind> parseAuditEventKind(std::string_view);

struct AuditEvent {
    AuditEventKind kind = AuditEventKind::NodeStarted;
    WallTime time {};
    std::string node;
    std::string actor; // operator or module that caused the event
    std::string service; // affected service; empty if none is affected
    std::string subject; // affected upstream, document or operation
    std::string reason;
    bool operator==(const AuditEvent&) const = default;
};

// Content of one store object.
struct AuditBatch {
    Id128 id; // random; tells whether the stored object is this batch, if the response to the write was lost
    uint64_t dropped = 0; // events lost since the previous batch
    std::vector<AuditEvent> events;
    bool operator==(const AuditBatch&) const = default;
};

std::string printAuditBatch(const AuditBatch&); // JSON
Result<AuditBatch> parseAuditBatch(std::string_view json);

// Text fields are truncated to this length, so that a batch fits into one store object even if JSON escapes every byte
// with six characters.
constexpr size_t maxAuditTextBytes = 300;
AuditEvent truncateTexts(AuditEvent); // truncates all text fields

struct AuditLimits {
    size_t maxBufferedEvents = 10'000; // limit of the buffer; beyond it the oldest event is dropped
    size_t maxBatchEvents = 100; // events per store object
    Duration flushDelay = 5s; // from the first event to the write of its batch; limits the rate of store calls
    Duration maxBackoff = 60s; // longest pause between attempts while the store is unavailable
};

// Buffers events and writes them to the store in order. record() only appends to the buffer, so callers never wait for
// the store. Belongs to one task. The store must outlive the pending calls of the trail.
template <ObjectStore Store> class AuditTrail {
public:
    // `firstBatch` is the number of the first object. Pass the start time of the node in milliseconds, so that the
    // numbers of a restarted node differ from its earlier ones without reading the store.
    AuditTrail(Store& store, std::string node, uint64_t firstBatch, AuditLimits limits = {})
        : m_state(std::make_shared<State>(store, std::move(node), firstBatch, limits))
    {
    }

    // Adds an event. Sets its node and truncates its texts.
    void record(AuditEvent event)
    {
        event.node = m_state->node;
        m_state->buffer.push_back(truncateTexts(std::move(event)));
        while (m_state->buffer.size() > m_state->limits.maxBufferedEvents) {
            m_state->buffer.pop_front();
            ++m_state->dropped;
            ++m_state->droppedSinceBatch;
        }
    }

    // Must be called periodically; writes a batch if one is due.
    void tick(Instant now)
    {
        State& state = *m_state;
        state.now = now;
        if (state.isWriting || (state.batch.events.empty() && state.buffer.empty()))
            return;
        if (!state.dueAt)
            state.dueAt = now + state.limits.flushDelay;
        bool isFull = !state.backoff.count() && state.buffer.size() >= state.limits.maxBatchEvents;
        if (isFull || now >= *state.dueAt)
            writeBatch(m_state);
    }

    // Writes all buffered events. Calls `done` with false if the store failed and events remain.
    void flush(const std::function<void(bool)>& done)
    {
        m_state->onFlushed = done;
        if (!m_state->isWriting)
            writeBatch(m_state);
    }

    // Events that are not known to be stored.
    size_t bufferedEvents() const { return m_state->buffer.size() + m_state->batch.events.size(); }
    // Events lost because the buffer was full.
    uint64_t droppedEvents() const { return m_state->dropped; }

private:
    struct State {
        State(Store& s, std::string n, uint64_t first, AuditLimits l)
            : store(s)
            , node(std::move(n))
            , nextBatch(first)
            , limits(l)
        {
        }

        Store& store;
        std::string node;
        uint64_t nextBatch;
        AuditLimits limits;
        std::deque<AuditEvent> buffer;
        AuditBatch batch; // being written; not changed until it is stored
        uint64_t dropped = 0; // since the start
        uint64_t droppedSinceBatch = 0; // reported with the next batch
        bool isWriting = false;
        Instant now {};
        std::optional<Instant> dueAt; // when the next batch is written, unless the buffer fills a batch earlier
        Duration backoff {}; // pause after the last failure; 0 after a success
        std::function<void(bool)> onFlushed;
    };
    using StatePointer = std::shared_ptr<State>;

    static std::string objectName(const State& state) { return state.node + "-" + std::to_string(state.nextBatch); }

    static void fillBatch(State& state)
    {
        if (!state.batch.events.empty() || state.buffer.empty())
            return;
        state.batch.id = randomId();
        state.batch.dropped = std::exchange(state.droppedSinceBatch, 0);
        size_t count = std::min(state.buffer.size(), state.limits.maxBatchEvents);
        for (size_t i = 0; i < count; ++i) {
            state.batch.events.push_back(std::move(state.buffer.front()));
            state.buffer.pop_front();
        }
    }

    static void writeBatch(const StatePointer& state)
    {
        fillBatch(*state);
        if (state->batch.events.empty())
            return finishFlush(*state, true);
        state->isWriting = true;
        state->store.put(auditKind, objectName(*state), printAuditBatch(state->batch), 0,
            [weak = std::weak_ptr<State>(state)](const Result<uint64_t>& result) {
                if (auto held = weak.lock())
                    handleWritten(held, result);
            });
    }

    static void handleWritten(const StatePointer& state, const Result<uint64_t>& result)
    {
        if (result)
            return handleStored(state);
        // The object exists: it is this batch if the response to an earlier write was lost, or was written by another
        // process.
        if (result.error().code == makeErrorCode(ErrorCode::Conflict))
            return checkStoredBatch(state);
        handleFailed(*state);
    }

    static void checkStoredBatch(const StatePointer& state)
    {
        state->store.get(
            auditKind, objectName(*state), [weak = std::weak_ptr<State>(state)](const Result<StoredObject>& result) {
                auto held = weak.lock();
                if (!held)
                    return;
                if (!result)
                    return handleFailed(*held);
                auto stored = parseAuditBatch(result.value().value);
                if (stored && stored.value().id == held->batch.id)
                    return handleStored(held);
                ++held->nextBatch;
                writeBatch(held);
            });
    }

    static void handleStored(const StatePointer& state)
    {
        state->isWriting = false;
        state->batch = {};
        ++state->nextBatch;
        state->backoff = {};
        state->dueAt.reset();
        if (state->onFlushed)
            writeBatch(state);
    }

    static void handleFailed(State& state)
    {
        state.isWriting = false;
        state.backoff = std::min(std::max<Duration>(state.backoff * 2, 1s), state.limits.maxBackoff);
        state.dueAt = state.now + state.backoff;
        finishFlush(state, false);
    }

    static void finishFlush(State& state, bool isComplete)
    {
        if (auto done = std::exchange(state.onFlushed, nullptr))
            done(isComplete);
    }

    StatePointer m_state;
};

// Events of all batches in the store.
struct AuditHistory {
    std::vector<AuditEvent> events; // sorted by time
    uint64_t dropped = 0; // events lost by the nodes because their buffer was full
    size_t damagedBatches = 0; // objects that are not valid batches
};

// Parses the batches and merges their events.
AuditHistory mergeAuditBatches(std::span<const StoredObject> batches);

// Reads the audit trail of the whole fleet.
template <ObjectStore Store> void readAudit(Store& store, Callback<AuditHistory> callback)
{
    store.list(auditKind, [callback = std::move(callback)](Result<std::vector<StoredObject>> result) {
        if (!result)
            return callback(result.error());
        callback(mergeAuditBatches(result.value()));
    });
}

} // namespace Gooseberrymill
