// Reference-counted immutable value.
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <compare>
#include <string>
#include <string_view>

namespace Gooseberrymill {

// Holds an immutable value through one pointer, so that many records can share it. Copies are cheap and may be used
// from different threads. Converts implicitly from and to the value.
template <typename T> class Shared {
public:
    Shared()
        : m_block(emptyBlock())
    {
    }
    template <typename U>
    requires(std::convertible_to<U, T> && !std::same_as<std::remove_cvref_t<U>, Shared>)
        Shared(U&& value) // NOLINT(bugprone-forwarding-reference-overload): the constraint excludes Shared itself
        : m_block(new Block(T(std::forward<U>(value))))
    {
    }

    const T& get() const { return m_block->value; }
    const T* operator->() const { return &m_block->value; }
    operator const T&() const { return m_block->value; }
    operator std::string_view() const requires std::same_as<T, std::string> { return m_block->value; }

    friend bool operator==(const Shared& a, const Shared& b) { return a.m_block == b.m_block || a.get() == b.get(); }
    friend auto operator<=>(const Shared& a, const Shared& b) requires std::three_way_comparable<T>
    {
        return a.get() <=> b.get();
    }
    friend bool operator==(const Shared& a, const T& b) { return a.get() == b; }

private:
    struct Block : boost::intrusive_ref_counter<Block> {
        explicit Block(T&& initial)
            : value(std::move(initial))
        {
        }
        const T value;
    };

    static const boost::intrusive_ptr<const Block>& emptyBlock()
    {
        static const boost::intrusive_ptr<const Block> block(new Block(T {}));
        return block;
    }

    boost::intrusive_ptr<const Block> m_block;
};

} // namespace Gooseberrymill
