#include <LibJob/StartWindow.h>

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;

/// Adjusts \p window \p times times.
static void noteLag(StartWindow &window, Core::Duration lag, bool wasFull, int times)
{
    for (int i = 0; i < times; ++i)
        window.noteLag(lag, wasFull);
}

TEST_CASE("The start window follows what the owner's process bears")
{
    StartWindow window;
    REQUIRE(window.size() == StartWindow::initialSize);

    SECTION("while calls run late, it shrinks to its least size")
    {
        window.noteLag(StartWindow::maxLag + milliseconds(1), true);
        CHECK(window.size() < StartWindow::initialSize);
        noteLag(window, milliseconds(1000), true, 100);
        CHECK(window.size() == StartWindow::minSize);

        SECTION("and grows again once they are on time")
        {
            noteLag(window, milliseconds(0), true, 100);
            CHECK(window.size() == StartWindow::maxSize);
        }
    }
    SECTION("between the limits it stays")
    {
        window.noteLag(StartWindow::maxLag, true);
        noteLag(window, StartWindow::minLag + milliseconds(1), true, 100);
        CHECK(window.size() == StartWindow::initialSize);
    }
    SECTION("it doesn't grow while it isn't used, so that no burst follows a calm time")
    {
        noteLag(window, milliseconds(0), false, 100);
        CHECK(window.size() == StartWindow::initialSize);
    }
}
