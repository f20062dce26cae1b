# Every outside library of the project; scripts/setup installs them.
find_package(Threads REQUIRED)
find_package(CURL REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(Boost REQUIRED COMPONENTS log unit_test_framework)
find_package(PkgConfig REQUIRED)
pkg_check_modules(JSONCPP REQUIRED IMPORTED_TARGET jsoncpp)

# Headers of the libraries are not ours to warn about.
add_library(bulrush_restinio INTERFACE)
# Asio allocates by either of two ways, by what headers came before it; all units must agree on one.
target_compile_definitions(bulrush_restinio INTERFACE ASIO_STANDALONE ASIO_HAS_STD_ALIGNED_ALLOC=1)
target_link_libraries(bulrush_restinio INTERFACE Threads::Threads http_parser fmt)

add_library(bulrush_jsonrpc INTERFACE)
target_link_libraries(bulrush_jsonrpc INTERFACE jsonrpccpp-common jsonrpccpp-client jsonrpccpp-server PkgConfig::JSONCPP)

add_library(bulrush_boost_log INTERFACE)
target_compile_definitions(bulrush_boost_log INTERFACE BOOST_LOG_DYN_LINK)
target_link_libraries(bulrush_boost_log INTERFACE Boost::log Threads::Threads)

add_library(bulrush_boost_test INTERFACE)
target_compile_definitions(bulrush_boost_test INTERFACE BOOST_TEST_DYN_LINK)
target_link_libraries(bulrush_boost_test INTERFACE Boost::unit_test_framework)
