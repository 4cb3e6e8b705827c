// What an upstream asks of its callers while it is in need: a lower rate of requests, or none because it is leaving.
//
// The executor beside the upstream enforces both, since no request reaches the upstream another way. It keeps them in
// memory only. After a restart it learns them from the entries, which remember what was passed on to them.
#pragma once

#include "RateLimiter.h"
#include "RelayMessages.h"

#include <map>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Executor
//-----------------------------------------------------------------------------

// What one response says about its upstream.
struct ResponseSignals {
    bool namesRate = false; // also when the value is unusable
    std::optional<double> rate {}; // requests per second; the lowest usable value of the response
    bool isLeaving = false;
    bool isServed = false; // the upstream ran the request and did not fail it
};

// State of one upstream. A process is named by a text that differs for each start of the upstream.
class Backpressure {
public:
    void setProcess(std::string process); // another process starts without limits

    // A response of the current process. Only a served response without a rate ends the limit: failures and rejections
    // may come from a part of the upstream that knows nothing of it. An unusable value changes nothing.
    void recordResponse(const ResponseSignals&);
    // What an entry has heard of the upstream. Its rate counts until the process itself has responded here.
    void recordNotice(const UpstreamNotice&);

    std::optional<double> rate() const { return m_rate; }
    bool isLeaving() const { return m_isLeaving; }
    // `wait`: time until the rate allows another request. Without a process when there is nothing to say.
    UpstreamNotice notice(Duration wait) const;

private:
    std::string m_process;
    std::optional<double> m_rate;
    bool m_isLeaving = false; // lasts as long as the process
    bool m_hasResponded = false; // a served response, or one with a usable rate, has arrived
};

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

// The latest notice of each upstream at one entry.
class NoticeBook {
public:
    static constexpr Duration lifetime = 5min; // longer than a process that leaves serves on

    // Call it with each response of an executor. A notice without a process removes the upstream.
    void update(std::string_view upstream, UpstreamNotice, Instant now);
    UpstreamNotice find(std::string_view upstream, Instant now) const; // without a process: none

private:
    struct Entry {
        UpstreamNotice notice;
        Instant heardAt {};
    };
    std::map<std::string, Entry, std::less<>> m_entries; // only upstreams with a notice
};

} // namespace Gooseberrymill
