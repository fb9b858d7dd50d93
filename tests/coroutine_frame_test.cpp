#include <boost/asio/awaitable.hpp>
#include <doctest/doctest.h>

#include <coroutine>
#include <cstddef>

namespace {

using frame = std::coroutine_traits<boost::asio::awaitable<bool>>::promise_type;

template <typename T>
concept has_own_operator_new = requires
{
    T::operator new (std::size_t{1});
};

template <typename T>
concept has_own_operator_delete = requires(void* p)
{
    T::operator delete (p, std::size_t{1});
};

} // namespace

// g++ reported own operators as mismatched where it inlined only one of them, which stopped the build on x86-64.
TEST_CASE("mismatched new and delete on x86-64: coroutine frames use the global operators")
{
    CHECK_FALSE(has_own_operator_new<frame>);
    CHECK_FALSE(has_own_operator_delete<frame>);
}
