// Control plane of one local upstream: announcements, health, ejection. Runs on the control task.
//
// The effective state is the worst of the state that the upstream reports, the verdict of the health monitor and the
// ejection granted through the roster. It is sent to the executor, which enforces it, and to the members, whose
// balancers use it to choose upstreams.
#pragma once

#include "AdminServer.h"
#include "core/Ejection.h"
#include "core/HealthMonitor.h"
#include "core/Membership.h"
#include "core/ObjectStore.h"
#include "core/UpstreamCondition.h"
#include "Executor.h"
#include "Log.h"
#include "RosterJson.h"
#include "Task.h"

#include <cmath>

namespace Gooseberrymill {

inline constexpr std::string_view rosterKind = "roster";

struct SupervisorHooks {
    std::function<void(const UpstreamEndpoint&)> setEndpoint; // passes the endpoint and its state to the executor
    std::function<void(const UpstreamRecord&)> publish; // sends the record to the members
    std::function<std::vector<UpstreamView>(std::string_view service)> views; // all upstreams of a service
    std::function<std::vector<HealthSummary>(std::string_view service)> peerHealth; // as reported by the members
    std::function<void(const HealthSummary&)> sendHealth; // sends this upstream's health to the members
    std::function<void(UpstreamState from, UpstreamState to, double severity)>
        stateChanged; // effective state; for the audit trail
};

template <ObjectStore Store> class UpstreamSupervisor {
public:
    // `store` may be null: the upstream can then be degraded, but never ejected.
    UpstreamSupervisor(const Announcement& announcement, const Id128& executor, Store* store, SupervisorHooks hooks)
        : m_announcement(announcement)
        , m_executor(executor)
        , m_store(store)
        , m_hooks(std::move(hooks))
        , m_controller(ejectionSettings(announcement, executor))
        , m_alive(std::make_shared<bool>(true))
    {
        m_announcement.state = UpstreamState::Gone; // until announced() is called
    }

    const Announcement& announcement() const { return m_announcement; }
    UpstreamState state() const { return m_state; }

    // Applies the service's policies; null: the service is not configured. Health samples are discarded only when the
    // detection policy changes.
    void configure(const Service* service)
    {
        m_controller.setFloorSlots(service ? service->floorSlots : UINT32_MAX);
        DetectionPolicy policy = service ? service->detection : DetectionPolicy {};
        if (policy != m_policy) {
            m_policy = policy;
            HealthMonitorOptions options;
            options.policy = m_policy;
            m_monitor = HealthMonitor(options);
            m_condition = UpstreamCondition(ExponentialReadmission(m_policy));
            restoreReportedState();
        }
    }

    // Handles a heartbeat of the upstream.
    void announced(const Announcement& announcement, Instant now)
    {
        bool isNew = m_announcement.state == UpstreamState::Gone;
        bool isRestart = announcement.state == UpstreamState::Cold && m_announcement.state != UpstreamState::Cold;
        UpstreamState previousState = m_announcement.state;
        m_announcement = announcement;
        m_lastHeartbeat = now;
        if (isNew || isRestart)
            restart(now);
        if (announcement.state == UpstreamState::Ready && m_condition.state() == UpstreamState::Cold) {
            m_condition.started(now);
            m_monitor.setCold(false, now);
            handle(UpstreamReady {}, now);
        }
        if (announcement.state == UpstreamState::Draining && previousState != UpstreamState::Draining)
            handle(UpstreamDraining {}, now);
        update(now);
    }

    void record(const Sample& sample, Instant now)
    {
        m_monitor.record(sample, now);
        m_hasNewSamples = true;
    }

    // Handles a crash of the upstream. It is gone until its next announcement, and then starts cold without earlier
    // health samples.
    void crashed(Instant now)
    {
        m_announcement.state = UpstreamState::Gone;
        update(now);
    }

    void tick(Instant now)
    {
        if (m_announcement.state != UpstreamState::Gone && now - m_lastHeartbeat > heartbeatTimeout) {
            log(LogLevel::Warning, "upstream.heartbeat_lost", { { "upstream", m_announcement.name } });
            m_announcement.state = UpstreamState::Gone;
        }
        if (m_announcement.state != UpstreamState::Gone && now >= m_nextEvaluation)
            evaluate(now);
        update(now);
    }

private:
    static constexpr Duration heartbeatTimeout = 3s; // three heartbeats of one second
    static constexpr Duration evaluationPeriod = 500ms;

    static EjectionSettings ejectionSettings(const Announcement& announcement, const Id128& executor)
    {
        EjectionSettings settings;
        settings.service = announcement.service;
        settings.upstream = announcement.name;
        settings.executor = executor;
        settings.slots = announcement.slots;
        settings.floorSlots = UINT32_MAX; // no ejection before the service's floor is known
        settings.seed = executor.low;
        return settings;
    }

    void restart(Instant now)
    {
        m_condition.restarted(now);
        m_monitor.reset(now);
        m_monitor.setCold(true, now);
        handle(UpstreamCold {}, now);
    }

    // Moves a newly created condition to the state that the upstream last reported.
    void restoreReportedState()
    {
        if (m_announcement.state != UpstreamState::Ready)
            return;
        Instant now = currentInstant();
        m_condition.started(now);
        m_monitor.setCold(false, now);
    }

    // Evaluates the upstream's health, shares it with the members and drives the ejection controller.
    void evaluate(Instant now)
    {
        m_nextEvaluation = now + evaluationPeriod;
        const std::string& service = m_announcement.service;
        auto peers = m_hooks.peerHealth(service);
        std::erase_if(peers, [&](const HealthSummary& summary) { return summary.upstream == m_announcement.name; });
        UpstreamState previousState = m_condition.state();
        Verdict verdict = m_monitor.evaluate(peers, now);
        // Without new samples the verdict is healthy: old samples of an upstream without traffic must neither extend
        // its probation nor count after it.
        m_condition.verdict(std::exchange(m_hasNewSamples, false) ? verdict : Verdict::Healthy, now);
        m_condition.tick(now);
        if (previousState == UpstreamState::Degraded && m_condition.state() == UpstreamState::Ready)
            m_monitor.reset(now);
        m_hooks.sendHealth(m_monitor.summary(m_announcement.name, now));
        handle(ViewChanged { m_hooks.views(service) }, now);
        handle(VerdictChanged { m_condition.wantsEjection(), m_monitor.severity() }, now);
        if (m_condition.isProbationOver(now))
            handle(ProbationOver {}, now);
        handle(Tick {}, now);
    }

    void handle(const EjectionEvent& event, Instant now)
    {
        for (EjectionAction& action : m_controller.handle(event, now))
            std::visit([&](auto& each) { carryOut(each, now); }, action);
    }

    void handleStoreReply(const StoreReply& storeReply)
    {
        handle(storeReply, currentInstant());
        update(currentInstant());
    }

    // Wraps a callback so that it does nothing when the reply arrives after this object was destroyed.
    template <typename Function> auto guarded(Function function)
    {
        return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](auto&& result) {
            if (!alive.expired())
                function(std::forward<decltype(result)>(result));
        };
    }

    // Errors of other categories, such as system errors, count as Unavailable.
    static ErrorCode toErrorCode(const Error& error)
    {
        bool isOwn = error.code.category() == errorCategory();
        return isOwn ? static_cast<ErrorCode>(error.code.value()) : ErrorCode::Unavailable;
    }

    void carryOut(const ReadRoster& action, Instant)
    {
        if (!m_store)
            return;
        m_store->get(rosterKind, m_announcement.service, guarded([this, action](const Result<StoredObject>& result) {
            StoreReply storeReply;
            storeReply.call = action.call;
            storeReply.roster.service = m_announcement.service;
            if (!result) {
                storeReply.error = toErrorCode(result.error());
            } else if (auto roster = rosterFromJson(result.value().value, result.value().version)) {
                storeReply.roster = roster.value();
            } else {
                log(LogLevel::Error, "roster.read", roster.error());
                storeReply.error = ErrorCode::Unavailable;
            }
            handleStoreReply(storeReply);
        }));
    }

    void carryOut(const WriteRoster& action, Instant)
    {
        if (!m_store)
            return;
        m_store->put(rosterKind, m_announcement.service, rosterToJson(action.roster), action.ifVersion,
            guarded([this, call = action.call](const Result<uint64_t>& result) {
                StoreReply storeReply;
                storeReply.call = call;
                if (result)
                    storeReply.version = result.value();
                else
                    storeReply.error = toErrorCode(result.error());
                handleStoreReply(storeReply);
            }));
    }

    void carryOut(const ApplyEjection&, Instant now) { m_condition.ejected(now); }

    void carryOut(const Readmit&, Instant now)
    {
        m_condition.readmitted(now);
        m_monitor.reset(now);
    }

    UpstreamState effectiveState() const
    {
        UpstreamState reported = m_announcement.state;
        if (reported == UpstreamState::Gone || reported == UpstreamState::Draining)
            return reported;
        return m_condition.state();
    }

    // Publishes the upstream's record and endpoint if one of them changed.
    void update(Instant now)
    {
        UpstreamState state = effectiveState();
        auto share = static_cast<float>(m_condition.share(now));
        // The share of a ramp is published in quarters, since each change costs gossip traffic.
        constexpr float shareStepCount = 4;
        share = std::max(1.0F, std::ceil(share * shareStepCount)) / shareStepCount;
        if (state == UpstreamState::Cold)
            share = 1;
        UpstreamRecord record { m_announcement.name, m_announcement.service, m_announcement.slots, state,
            static_cast<float>(m_monitor.severity()), share };
        bool isChanged = !m_published || m_published->state != state || m_published->slots != record.slots
            || m_published->share != share || m_address != m_announcement.address;
        if (!isChanged)
            return;
        if (state != m_state)
            m_hooks.stateChanged(m_state, state, m_monitor.severity());
        m_state = state;
        m_address = m_announcement.address;
        m_published = record;
        m_hooks.setEndpoint(
            { record.name, record.service, m_announcement.address, record.slots, state, m_announcement.instance });
        m_hooks.publish(record);
    }

    Announcement m_announcement;
    Id128 m_executor;
    Store* m_store;
    SupervisorHooks m_hooks;
    DetectionPolicy m_policy;
    HealthMonitor m_monitor;
    UpstreamCondition m_condition;
    EjectionController m_controller;
    UpstreamState m_state = UpstreamState::Gone;
    std::string m_address; // last address passed to setEndpoint
    std::optional<UpstreamRecord> m_published;
    bool m_hasNewSamples = false; // a sample was recorded since the last evaluation
    Instant m_lastHeartbeat {};
    Instant m_nextEvaluation {};
    std::shared_ptr<bool> m_alive;
};

} // namespace Gooseberrymill
