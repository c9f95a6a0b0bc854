// Counts the bytes that a process holds for others: bodies and heads of requests, answers for slow readers, and connections of other VMs.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace plantainpoint {

class memory_budget
{
public:
    // Bodies over this size leave a part of the budget to smaller ones, so that large uploads do not keep bookings and lookups out.
    static constexpr std::size_t largeBody = 64 * 1024UL; // Bytes.

    // The default has no limit.
    explicit memory_budget(std::size_t limit = std::numeric_limits<std::size_t>::max())
        : m_limit(limit)
    {
    }

    // Takes the bytes for a body of the given size in all. Returns false, without a change, if the budget is used up.
    bool take(std::size_t bytes, std::size_t bodySize)
    {
        const auto limit = bodySize > largeBody ? largeBodyLimit() : m_limit;
        if (m_held > limit || bytes > limit - m_held) {
            return false;
        }
        m_held += bytes;
        return true;
    }
    // Counts bytes that cannot be refused, such as those of an answer.
    void charge(std::size_t bytes) { m_held += bytes; }
    void release(std::size_t bytes) { m_held -= bytes; }

    std::size_t held() const { return m_held; }
    std::size_t limit() const { return m_limit; }
    // Returns the part that bodies over largeBody may use. It is the size of the largest body that can ever be held.
    std::size_t largeBodyLimit() const { return m_limit - m_limit / smallParts; }
    bool isExceeded() const { return m_held > m_limit; }
    bool isHalfUsed() const { return m_held > m_limit / 2; }

private:
    static constexpr std::size_t smallParts = 8; // One part of so many is kept for small bodies.

    std::size_t m_limit;
    std::size_t m_held = 0;
};

// Bytes that count in a budget until this object ends. The budget is kept as long as its shares.
class memory_share
{
public:
    memory_share() = default;
    explicit memory_share(std::shared_ptr<memory_budget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~memory_share() { charge(0); }
    memory_share(memory_share &&other) noexcept
        : m_budget(std::move(other.m_budget))
        , m_size(std::exchange(other.m_size, 0))
    {
    }
    memory_share &operator=(memory_share &&other) noexcept
    {
        if (this != &other) {
            charge(0);
            m_budget = std::move(other.m_budget);
            m_size = std::exchange(other.m_size, 0);
        }
        return *this;
    }
    memory_share(const memory_share &) = delete;
    memory_share &operator=(const memory_share &) = delete;

    // Grows to the size of a body. Returns false, without a change, if the budget is used up.
    bool take(std::size_t size)
    {
        if (m_budget && size > m_size && !m_budget->take(size - m_size, size)) {
            return false;
        }
        m_size = std::max(m_size, size);
        return true;
    }
    // Sets the size, whatever the budget holds.
    void charge(std::size_t size)
    {
        if (m_budget && size > m_size) {
            m_budget->charge(size - m_size);
        } else if (m_budget) {
            m_budget->release(m_size - size);
        }
        m_size = size;
    }

    std::size_t size() const { return m_size; }

private:
    std::shared_ptr<memory_budget> m_budget;
    std::size_t m_size = 0;
};

} // namespace plantainpoint
