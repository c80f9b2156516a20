#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_set>

namespace wisteriafork {

// Bounds the open connections of callers of one process. If there is no room for a new one, the connection that has waited longest for its
// caller is closed: for the rest of a request, for the next one, or for the caller to close it. A connection whose request is being handled
// or answered is never closed. Thread safe.
class ConnectionLedger
{
public:
    explicit ConnectionLedger(std::size_t maxConnections);

    // One open connection. Counts until it is destroyed.
    class Entry
    {
    public:
        // `ledger` may be null: the connection is not counted then.
        explicit Entry(std::shared_ptr<ConnectionLedger> ledger);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        // The connection waits for its caller from now on. `yield` closes it if it still waits; it is called at most once, on any thread.
        void beginWait(std::function<void()> yield);
        // The connection no longer waits.
        void endWait();

    private:
        const std::shared_ptr<ConnectionLedger> m_ledger;
        std::uint64_t m_number = 0;
        // Number of the current wait; 0 if there is none.
        std::uint64_t m_wait = 0;
    };

    // Makes room for a new connection. False if all others are in use.
    bool makeRoom();
    // Connections that were closed to make room.
    std::size_t yieldedConnections() const;

private:
    struct Waiting
    {
        // Number of the connection.
        std::uint64_t connection = 0;
        std::function<void()> yield;
    };

    const std::size_t m_maxConnections;
    mutable std::mutex m_mutex;
    std::uint64_t m_lastNumber = 0;
    // Open connections, without those that were asked to close.
    std::size_t m_open = 0;
    std::unordered_set<std::uint64_t> m_yielding;
    std::size_t m_yielded = 0;
    // By the number of the wait: the oldest comes first.
    std::map<std::uint64_t, Waiting> m_waiting;
};

} // namespace wisteriafork
