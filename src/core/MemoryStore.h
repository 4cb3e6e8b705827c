// In-memory object store with fault injection, for tests and simulations. Satisfies the concept ObjectStore.
//
// Calls take effect at once, but their callbacks only run in deliver() or deliverAll(), so that a test can interleave
// callers in any order. Not thread-safe.
#pragma once

#include "ObjectStore.h"

#include <algorithm>
#include <deque>
#include <map>

namespace Gooseberrymill {

class MemoryStore {
public:
    // Faults to inject.
    struct Faults {
        bool isDown = false; // whether calls fail with Unavailable and have no effect
        uint32_t lostAnswers = 0; // number of coming writes that take effect but fail with AnswerLost
        uint32_t lostWrites = 0; // number of coming writes that have no effect and fail with AnswerLost
        bool dropsWatchEvents = false; // whether watches do not report changes
        bool servesStaleReads = false; // whether reads return an object as it was before its last change
    };

    Faults faults;

    void get(std::string_view kind, std::string_view name, const Callback<StoredObject>& callback)
    {
        ++m_calls;
        if (faults.isDown)
            return fail(callback, ErrorCode::Unavailable, "store.get");
        auto it = m_objects.find(keyOf(kind, name));
        if (it == m_objects.end())
            return fail(callback, ErrorCode::NotFound, "store.get");
        answer(callback, visibleVersion(it->second));
    }

    void put(std::string_view kind, std::string_view name, std::string value, uint64_t version,
        const Callback<uint64_t>& callback)
    {
        ++m_calls;
        if (applyWriteFaults(callback, "store.put"))
            return;
        Key key = keyOf(kind, name);
        auto it = m_objects.find(key);
        if ((it == m_objects.end() ? 0 : it->second.current.version) != version)
            return loseOrFail(callback, ErrorCode::Conflict, "store.put");
        Entry& entry = m_objects[key];
        entry.previous = std::move(entry.current);
        entry.current = { key.first, key.second, ++m_lastVersion, std::move(value) };
        notifyWatches(entry.current);
        loseOrAnswer(callback, "store.put");
    }

    void remove(std::string_view kind, std::string_view name, uint64_t version, const Callback<uint64_t>& callback)
    {
        ++m_calls;
        if (applyWriteFaults(callback, "store.remove"))
            return;
        auto it = m_objects.find(keyOf(kind, name));
        if (it == m_objects.end())
            return loseOrFail(callback, ErrorCode::NotFound, "store.remove");
        if (it->second.current.version != version)
            return loseOrFail(callback, ErrorCode::Conflict, "store.remove");
        m_objects.erase(it);
        ++m_lastVersion;
        loseOrAnswer(callback, "store.remove");
    }

    void list(std::string_view kind, const Callback<std::vector<StoredObject>>& callback)
    {
        ++m_calls;
        if (faults.isDown)
            return fail(callback, ErrorCode::Unavailable, "store.list");
        std::vector<StoredObject> objects;
        for (const auto& [key, entry] : m_objects) {
            if (key.first == kind)
                objects.push_back(visibleVersion(entry));
        }
        answer(callback, std::move(objects));
    }

    // Completes with the next change beyond `version`, or with expireWatches(). The timeout is ignored; the test
    // decides when a watch expires.
    void watch(
        std::string_view kind, std::string_view name, uint64_t version, Duration, Callback<StoredObject> callback)
    {
        ++m_calls;
        if (faults.isDown)
            return fail(callback, ErrorCode::Unavailable, "store.watch");
        Key key = keyOf(kind, name);
        auto it = m_objects.find(key);
        if (!faults.dropsWatchEvents && it != m_objects.end() && it->second.current.version > version)
            return answer(callback, it->second.current);
        m_watches.push_back({ std::move(key), version, std::move(callback) });
    }

    // Ends all watches with Unchanged.
    void expireWatches()
    {
        for (Watch& watch : std::exchange(m_watches, {}))
            fail(watch.callback, ErrorCode::Unchanged, "store.watch");
    }

    bool deliver() // runs the oldest pending callback; false when there is none
    {
        if (m_answers.empty())
            return false;
        auto callback = std::move(m_answers.front());
        m_answers.pop_front();
        callback();
        return true;
    }

    void deliverAll() // runs all pending callbacks, including those added meanwhile
    {
        while (deliver()) { }
    }

    size_t pendingAnswers() const { return m_answers.size(); }
    size_t pendingWatches() const { return m_watches.size(); }
    uint64_t callCount() const { return m_calls; }

private:
    using Key = std::pair<std::string, std::string>;

    struct Entry {
        StoredObject current;
        StoredObject previous;
    };

    struct Watch {
        Key key;
        uint64_t version = 0;
        Callback<StoredObject> callback;
    };

    static Key keyOf(std::string_view kind, std::string_view name) { return { std::string(kind), std::string(name) }; }

    const StoredObject& visibleVersion(const Entry& entry) const
    {
        return faults.servesStaleReads && entry.previous.version ? entry.previous : entry.current;
    }

    template <typename T> void answer(const Callback<T>& callback, T value)
    {
        m_answers.push_back([callback, value = std::move(value)] { callback(value); });
    }

    template <typename T> void fail(const Callback<T>& callback, ErrorCode ec, const char* step)
    {
        m_answers.push_back([callback, error = Error { ec, step, "memory", "" }] { callback(error); });
    }

    // Fails a write if a fault is active. Returns whether it failed.
    bool applyWriteFaults(const Callback<uint64_t>& callback, const char* step)
    {
        if (faults.isDown) {
            fail(callback, ErrorCode::Unavailable, step);
            return true;
        }
        if (!faults.lostWrites)
            return false;
        --faults.lostWrites;
        fail(callback, ErrorCode::AnswerLost, step);
        return true;
    }

    // Whether the response of this write must be lost. Uses up one of `lostAnswers`.
    bool consumeLostAnswer()
    {
        if (!faults.lostAnswers)
            return false;
        --faults.lostAnswers;
        return true;
    }

    void loseOrFail(const Callback<uint64_t>& callback, ErrorCode ec, const char* step)
    {
        fail(callback, consumeLostAnswer() ? ErrorCode::AnswerLost : ec, step);
    }

    void loseOrAnswer(const Callback<uint64_t>& callback, const char* step)
    {
        if (consumeLostAnswer())
            fail(callback, ErrorCode::AnswerLost, step);
        else
            answer(callback, m_lastVersion);
    }

    void notifyWatches(const StoredObject& object)
    {
        if (faults.dropsWatchEvents)
            return;
        auto isDue = [&](const Watch& watch) {
            return watch.key == Key(object.kind, object.name) && watch.version < object.version;
        };
        for (const Watch& watch : m_watches) {
            if (isDue(watch))
                answer(watch.callback, object);
        }
        std::erase_if(m_watches, isDue);
    }

    std::map<Key, Entry> m_objects;
    std::vector<Watch> m_watches;
    std::deque<std::function<void()>> m_answers;
    uint64_t m_lastVersion = 0;
    uint64_t m_calls = 0;
};

static_assert(ObjectStore<MemoryStore>);

} // namespace Gooseberrymill
