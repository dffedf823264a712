#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <coroutine>
#include <cstddef>

namespace asio = boost::asio;

namespace {

template<typename Awaitable>
using Promise = typename std::coroutine_traits<Awaitable>::promise_type;

template<typename T>
concept HasOwnAllocation = requires
{
  T::operator new(std::size_t(1));
};

template<typename T>
concept HasOwnDeallocation = requires(void* aFrame)
{
  T::operator delete(aFrame, std::size_t(1));
};

}

BOOST_AUTO_TEST_SUITE(coroutine_frame)

// Guards against builds that fail on one kind of machine: g++ takes an operator new of Asio that is
// inlined and an operator delete that is not for a mismatched pair.
BOOST_AUTO_TEST_CASE(coroutines_have_no_operators_new_and_delete_of_their_own)
{
  using TypeErased = Promise<asio::awaitable<void>>;
  using Named = Promise<asio::awaitable<int, asio::io_context::executor_type>>;
  BOOST_TEST(!HasOwnAllocation<TypeErased>);
  BOOST_TEST(!HasOwnDeallocation<TypeErased>);
  BOOST_TEST(!HasOwnAllocation<Named>);
  BOOST_TEST(!HasOwnDeallocation<Named>);
}

BOOST_AUTO_TEST_SUITE_END()
