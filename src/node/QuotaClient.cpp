#include "QuotaClient.h"

#include "Task.h"

namespace Gooseberrymill {

namespace {

constexpr Duration answerTimeout = 400ms; // for the answer of a home; it covers a round trip between regions

} // namespace

QuotaClient::QuotaClient(RelayClient& client, std::string region, std::shared_ptr<const SharedQuotaNodes> nodes)
    : m_client(client)
    , m_region(std::move(region))
    , m_nodes(std::move(nodes))
{
}

void QuotaClient::acquire(const Organisation& organisation, std::shared_ptr<const RouteTable> routes, Callback callback)
{
    if (!hasQuota(organisation)) {
        callback({ true, {} });
        return;
    }
    uint64_t seed = randomId().low;
    Account& account = m_accounts.try_emplace(organisation.name, Account { QuotaStock(seed), {}, {} }).first->second;
    account.routes = std::move(routes);
    account.stock.want();
    account.waiting.push_back(std::move(callback));
    run(organisation.name);
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
    if (it == m_accounts.end())
        return;
    Account& account = it->second;
    grant(account, account.stock.takeGranted());
    auto nodes = m_nodes->get();
    const Organisation* found = account.routes->organisations().named(organisation);
    std::optional<QuotaAsk> next;
    if (nodes && found)
        next = account.stock.nextAsk(*nodes, m_region, *found, currentInstant());
    if (next)
        return ask(organisation, *next);
    auto retryAfter = account.stock.takeRefusal(currentInstant());
    if (!nodes)
        retryAfter = answerTimeout;
    if (!retryAfter)
        return;
    for (const Callback& callback : std::exchange(account.waiting, {}))
        callback({ false, *retryAfter });
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
