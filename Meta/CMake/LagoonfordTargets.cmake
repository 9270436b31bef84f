# Compiler settings, third-party packages, and the functions that declare our targets.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(THREADS_PREFER_PTHREAD_FLAG ON)

option(LAGOONFORD_NODE_ONLY "Build only what runs on the users' platform" OFF)
option(LAGOONFORD_SANITIZE "Build with the address and undefined behaviour sanitizers" OFF)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM AND NOT LAGOONFORD_NODE_ONLY)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Werror)
# GCC 12 reports false positives from inside its own headers at -O2.
add_compile_options(-Wno-maybe-uninitialized -Wno-restrict -Wno-dangling-pointer)
add_compile_options(-Wno-array-bounds -Wno-stringop-overflow -Wno-mismatched-new-delete)
if(LAGOONFORD_SANITIZE)
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS system)
find_package(jsoncpp REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(Inih REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(Log4cxx REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(Sodium REQUIRED IMPORTED_TARGET libsodium)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(MIMALLOC_LIBRARY mimalloc REQUIRED)
if(NOT LAGOONFORD_NODE_ONLY)
    find_package(Catch2 2 REQUIRED)
    find_package(rapidcheck REQUIRED)
    find_package(trompeloeil REQUIRED)
    find_package(benchmark REQUIRED)
    pkg_check_modules(JsonRpcServer REQUIRED IMPORTED_TARGET libjsonrpccpp-server)
    pkg_check_modules(JsonRpcClient REQUIRED IMPORTED_TARGET libjsonrpccpp-client)
    find_library(INI_READER_LIBRARY INIReader REQUIRED)
endif()

# lagoonford_library(NAME dependencies...): a library from the sources in the current folder,
# with its public headers in include/NAME.
function(lagoonford_library name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS *.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${name} PUBLIC ${ARGN})
endfunction()

# lagoonford_program(NAME dependencies...): a program from the sources in the current folder.
function(lagoonford_program name)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# lagoonford_test(NAME dependencies... [GROUPS tags...]): one Catch2 program from the sources in the
# current folder, run by CTest from the source root so that tests find their traces. The cases with
# each of the tags are a CTest test of their own, NAME.TAG, and NAME itself runs all others, so that
# parts of a long program run beside each other. No case may have two of the tags.
function(lagoonford_test name)
    cmake_parse_arguments(PARSE_ARGV 1 test "" "" "GROUPS")
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE TestMain ${test_UNPARSED_ARGUMENTS})
    set(others)
    foreach(tag ${test_GROUPS})
        lagoonford_add_test(${name}.${tag} ${name} "[${tag}]")
        string(APPEND others "~[${tag}]")
    endforeach()
    if(others)
        # A filter that only excludes would run hidden cases, too.
        string(APPEND others "~[.]")
    endif()
    lagoonford_add_test(${name} ${name} ${others})
endfunction()

# lagoonford_add_test(NAME PROGRAM [FILTER]): a CTest test that runs the program's cases that match.
function(lagoonford_add_test name)
    add_test(NAME ${name} COMMAND ${ARGN} WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
    set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()
