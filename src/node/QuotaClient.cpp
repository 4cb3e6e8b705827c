#include "QuotaClient.h"

#include "Task.h"

namespace Gooseberrymill {

namespace {

constexpr Duration idleTime = 10s; // after which what is known about an organisation is dropped
constexpr Duration answerTimeout = 400ms; // for the answer of a home; it covers a round trip between regions

} // namespace

QuotaClient::QuotaClient(RelayClient& client, std::string region, std::shared_ptr<const SharedQuotaNodes> nodes)
    : m_client(client)
    , m_region(std::move(region))
    , m_nodes(std::move(nodes))
    , m_random(static_cast<uint32_t>(randomId().low))
{
}

void QuotaClient::acquire(const Organisation& organisation, std::shared_ptr<const RouteTable> routes, Callback callback)
{
    if (!hasQuota(organisation)) {
        callback({ true, {} });
        return;
    }
    Instant now = currentInstant();
    dropIdleAccounts(now);
    auto it = m_accounts.find(organisation.name);
    if (it == m_accounts.end())
        it = m_accounts.emplace(organisation.name, Account { QuotaStock(m_random()), {}, {} }).first;
    Account& account = it->second;
    account.usedAt = now;
    account.routes = std::move(routes);
    account.stock.want();
    account.waiting.push_back(std::move(callback));
    run(organisation.name);
}

// Called before a request is looked up, so that no function further up holds a reference to an account.
void QuotaClient::dropIdleAccounts(Instant now)
{
    if (now < m_nextSweep || m_isRunning)
        return;
    m_nextSweep = now + idleTime;
    std::erase_if(m_accounts, [&](const auto& it) {
        const Account& account = it.second;
        return account.waiting.empty() && account.stock.isIdle() && now - account.usedAt >= idleTime;
    });
}

void QuotaClient::giveBack(const std::string& organisation)
{
    if (auto it = m_accounts.find(organisation); it != m_accounts.end())
        it->second.stock.giveBack();
}

// Callbacks may call acquire() and giveBack().
void QuotaClient::run(const std::string& organisation)
{
    auto it = m_accounts.find(organisation);
    if (it == m_accounts.end() || !it->second.routes)
        return;
    Account& account = it->second;
    bool wasRunning = std::exchange(m_isRunning, true);
    grant(account, account.stock.takeGranted());
    auto nodes = m_nodes->get();
    const Organisation* found = account.routes ? account.routes->organisations().named(organisation) : nullptr;
    std::optional<QuotaAsk> next;
    if (nodes && found)
        next = account.stock.nextAsk(*nodes, m_region, *found, currentInstant());
    if (next) {
        ask(organisation, *next);
    } else if (!nodes) {
        account.stock.refuseAll();
        refuse(account, answerTimeout);
    } else if (auto retryAfter = account.stock.takeRefusal(currentInstant())) {
        refuse(account, *retryAfter);
    }
    if (account.waiting.empty())
        account.routes.reset();
    m_isRunning = wasRunning;
}

// The callers are spread over as long again, so that they don't all return at once.
void QuotaClient::refuse(Account& account, Duration retryAfter)
{
    std::uniform_real_distribution<> spread(1, 2);
    for (const Callback& callback : std::exchange(account.waiting, {})) {
        double delay = static_cast<double>(retryAfter.count()) * spread(m_random);
        callback({ false, Duration(static_cast<Duration::rep>(delay)) });
    }
}

void QuotaClient::grant(Account& account, uint32_t n)
{
    for (; n && !account.waiting.empty(); --n) {
        Callback callback = std::move(account.waiting.front());
        account.waiting.pop_front();
        if (!callback({ true, {} }))
            account.stock.giveBack();
    }
}

void QuotaClient::ask(const std::string& organisation, const QuotaAsk& next)
{
    m_client.query(
        next.relayAddress, next.query,
        [this, organisation, alive = std::weak_ptr<bool>(m_alive)](const Result<RelayMessage>& result) {
            if (alive.expired())
                return;
            auto it = m_accounts.find(organisation);
            if (it == m_accounts.end())
                return;
            const auto* reply = result ? std::get_if<QuotaReply>(&result.value()) : nullptr;
            if (reply)
                it->second.stock.answered(*reply, currentInstant());
            else
                it->second.stock.failed(currentInstant());
            run(organisation);
        },
        answerTimeout);
}

} // namespace Gooseberrymill
