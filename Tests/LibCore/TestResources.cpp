#include <LibCore/Resources.h>

#include <rapidcheck/catch.h>

using Core::Resources;

TEST_CASE("Resources are compared by every dimension")
{
    const Resources worker { 32000, 128000, 1 };
    SECTION("a task that needs exactly the available resources fits")
    {
        CHECK(worker.fitsIn(worker));
        SECTION("one more accelerator is named as the dimension that doesn't fit")
        {
            CHECK((worker + Resources { 0, 0, 1 }).firstDimensionAbove(worker) == "accelerators");
        }
    }
    rc::prop("subtraction reverses addition", [](int cores, int memory) {
        const Resources sum = Resources { cores, memory, 0 } + Resources { 7, 8, 9 };
        RC_ASSERT((sum - Resources { 7, 8, 9 }) == (Resources { cores, memory, 0 }));
    });
}
