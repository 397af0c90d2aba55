// Boost.Asio 1.74 uses std::exchange and std::coroutine_handle without including their headers. It enables
// coroutines with clang only if these macros are defined.
#include <coroutine>
#include <utility>
#ifdef __clang__
#define BOOST_ASIO_HAS_CO_AWAIT 1
#define BOOST_ASIO_HAS_STD_COROUTINE 1
#endif
