// Asks the homes of an organisation's quota for the requests of one entry worker; see core/Quota.h.
#pragma once

#include "core/Quota.h"
#include "RelayClient.h"
#include "Settings.h"

#include <deque>
#include <mutex>

namespace Gooseberrymill {

inline QuotaTerms quotaTerms(const Settings& settings)
{
    return { settings.quotaWindow, settings.quotaOverage, settings.quotaSlack, std::max(1U, settings.workers) };
}

// Answer to a request of an organisation.
struct QuotaDecision {
    bool isGranted = false;
    Duration retryAfter {}; // if not granted: when the caller's turn comes
};

// The live nodes, set by the control task and read by the entry workers.
class SharedQuotaNodes {
public:
    void set(std::shared_ptr<const QuotaNodes> nodes)
    {
        std::lock_guard lock(m_mutex);
        m_nodes = std::move(nodes);
    }
    std::shared_ptr<const QuotaNodes> get() const
    {
        std::lock_guard lock(m_mutex);
        return m_nodes;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const QuotaNodes> m_nodes; // guarded by m_mutex; null until the nodes are known
};

// Runs on the worker's task. The relay client must outlive this object.
class QuotaClient {
public:
    // Takes the decision; returns whether the request still needs it. A token that is not needed is kept for another
    // request.
    using Callback = std::function<bool(const QuotaDecision&)>;

    QuotaClient(RelayClient&, std::string region, std::shared_ptr<const SharedQuotaNodes>);

    // Calls back at once or later. `organisation` is looked up again in the routes when an answer arrives, so the
    // caller passes the routes that hold it.
    void acquire(const Organisation& organisation, std::shared_ptr<const RouteTable> routes, Callback);
    void giveBack(const std::string& organisation); // a request that was granted has not run

private:
    struct Account {
        QuotaStock stock;
        std::deque<Callback> waiting;
        std::shared_ptr<const RouteTable> routes; // owns the organisation; null while nobody waits
        Instant usedAt {};
    };

    void run(const std::string& organisation);
    void grant(Account&, uint32_t n);
    void refuse(Account&, Duration retryAfter);
    void ask(const std::string& organisation, const QuotaAsk&);
    void dropIdleAccounts(Instant now);

    RelayClient& m_client;
    std::string m_region;
    std::shared_ptr<const SharedQuotaNodes> m_nodes;
    std::map<std::string, Account, std::less<>> m_accounts; // by organisation
    std::minstd_rand m_random;
    Instant m_nextSweep {};
    bool m_isRunning = false; // in run(), whose callbacks may call acquire()
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with this object; checked by callbacks
};

} // namespace Gooseberrymill
