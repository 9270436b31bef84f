#include "CountedCalls.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <new>

namespace {

thread_local std::size_t allocations = 0;

} // namespace

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

// The sanitizers have one of their own, which doesn't fit the operators below.
void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    ++allocations;
    return std::malloc(size == 0 ? 1 : size);
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

TEST_CASE("The start of a task takes no more than a tenth above the recorded allocations and "
          "handlers of the owner's loop")
{
    constexpr std::size_t calls = 200;
    constexpr double recordedAllocations = 23.1;
    // The third one is only needed if the answer isn't there yet at the first reading.
    constexpr double recordedHandlers = 3;
    CountedCalls site;
    // The first calls open the connections.
    for (std::size_t i = 0; i < CountedCalls::workers; ++i)
        site.start(i);
    const std::size_t allocationsBefore = allocations;
    std::size_t handlers = 0;
    for (std::size_t i = 0; i < calls; ++i)
        handlers += site.start(i % CountedCalls::workers);
    const auto allocationsOfCalls = static_cast<double>(allocations - allocationsBefore);
    REQUIRE(site.succeeded() == calls + CountedCalls::workers);
    CHECK(allocationsOfCalls / calls <= 1.1 * recordedAllocations);
    CHECK(static_cast<double>(handlers) / calls <= 1.1 * recordedHandlers);
}
