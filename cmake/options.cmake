# Compiler settings shared by all packages, and functions that declare a package and its tests.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion -Werror)

# Makes Beast use std::string_view instead of boost::string_view in its interfaces.
add_compile_definitions(BOOST_BEAST_USE_STD_STRING_VIEW)

option(CAMPHORKNOT_SANITIZE "Build with the address and undefined behaviour sanitizers" OFF)
if(CAMPHORKNOT_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined)
  add_link_options(-fsanitize=address,undefined)
endif()

option(CAMPHORKNOT_SANITIZE_THREADS "Build with the thread sanitizer" OFF)
if(CAMPHORKNOT_SANITIZE AND CAMPHORKNOT_SANITIZE_THREADS)
  message(FATAL_ERROR "The address and the thread sanitizer cannot be in one build")
endif()
if(CAMPHORKNOT_SANITIZE_THREADS)
  add_compile_options(-fsanitize=thread)
  # g++ 12 warns of the fences in Asio, which the sanitizer does not follow; Asio has a mutex at the same places.
  add_compile_options($<$<CXX_COMPILER_ID:GNU>:-Wno-tsan>)
  add_link_options(-fsanitize=thread)
endif()

# camphorknot_library(<name> SOURCES <file>... LINK <target>...): a package's library, exported and installed.
function(camphorknot_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(camphorknot_${name} STATIC ${ARG_SOURCES})
  add_library(camphorknot::${name} ALIAS camphorknot_${name})
  target_include_directories(camphorknot_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:include>)
  target_link_libraries(camphorknot_${name} PUBLIC ${ARG_LINK})
  install(TARGETS camphorknot_${name} EXPORT camphorknot ARCHIVE DESTINATION lib)
  install(DIRECTORY include/ DESTINATION include OPTIONAL)
endfunction()

# camphorknot_tests(<name> SOURCES <file>... LINK <target>... [PROPERTIES <property> <value>...]): a Catch2 program; each
# test case is registered with CTest, with these properties.
function(camphorknot_tests name)
  if(NOT CAMPHORKNOT_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK;PROPERTIES" ${ARGN})
  add_executable(${name}_tests ${ARG_SOURCES})
  target_link_libraries(${name}_tests PRIVATE ${ARG_LINK} camphorknot_test_main)
  catch_discover_tests(${name}_tests TEST_PREFIX "${name}/" PROPERTIES TIMEOUT 300 ${ARG_PROPERTIES})
endfunction()

# Includes cmake/asio_prelude.hpp before all headers of <target>, as Asio's coroutines in Boost 1.74 need it.
function(camphorknot_use_asio target)
  target_compile_options(${target} PRIVATE -include ${PROJECT_SOURCE_DIR}/cmake/asio_prelude.hpp)
  target_compile_definitions(${target} PRIVATE BOOST_ASIO_NO_DEPRECATED)
  # g++ 12 on x86-64 inlines the allocation of Asio's coroutine frames but not their deallocation, and reports the pair.
  target_compile_options(${target} PRIVATE $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
endfunction()
