#include <utility>

#include <LibCore/Error.h>
#include <LibSupervision/Supervisor.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <exception>

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Fails the given number of times, then runs until it is stopped.
class FlakyPart final : public Supervision::Part
{
public:
    FlakyPart(asio::io_context &context, std::string name, int failures,
              std::vector<std::string> &stops)
        : m_name(std::move(name))
        , m_failures(failures)
        , m_stops(stops)
        , m_stop(context, asio::steady_timer::time_point::max())
    {
    }

    std::string name() const override { return m_name; }
    asio::awaitable<void> run() override
    {
        ++m_runs;
        if (m_runs <= m_failures)
            throw Core::Error("test", m_name, "broken on purpose");
        boost::system::error_code ignored;
        co_await m_stop.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_stops.push_back(m_name);
    }
    void requestStop() override { m_stop.cancel(); }
    int runs() const { return m_runs; }

private:
    std::string m_name;
    int m_failures;
    int m_runs = 0;
    std::vector<std::string> &m_stops;
    asio::steady_timer m_stop;
};

} // namespace

TEST_CASE("Restarts back off, and end when there are too many")
{
    Supervision::RestartPolicy policy({ 3, 10s, 100ms, 300ms });
    const Core::Instant start {};
    CHECK(policy.onFailure(start) == start + 100ms);
    CHECK(policy.onFailure(start) == start + 200ms);
    CHECK(policy.onFailure(start) == start + 300ms);
    SECTION("a fourth failure within the window exceeds the limit")
    {
        CHECK_FALSE(policy.onFailure(start + 10s).has_value());
    }
    SECTION("old failures are forgotten")
    {
        CHECK(policy.onFailure(start + 11s) == start + 11s + 100ms);
    }
}

TEST_CASE("A supervisor keeps its parts running")
{
    asio::io_context context;
    std::vector<std::string> stops;
    std::vector<std::string> events;
    Supervision::Supervisor root("root", context.get_executor(), { 3, 10s, 1ms, 1ms },
                                 [&](const std::string &part, const std::string &event) {
                                     events.push_back(part + ' ' + event);
                                 });
    std::exception_ptr failure;
    SECTION("a part that failed is run again, and all stop in reverse order")
    {
        FlakyPart first(context, "first", 0, stops);
        FlakyPart second(context, "second", 2, stops);
        root.add(first);
        root.add(second);
        asio::co_spawn(context, root.run(), [&](const std::exception_ptr &e) { failure = e; });
        while (second.runs() < 3)
            context.run_one();
        root.requestStop();
        context.run();
        CHECK_FALSE(failure);
        CHECK(first.runs() == 1);
        CHECK(stops == std::vector<std::string> { "second", "first" });
    }
    SECTION("a part that keeps failing stops the others and makes the supervisor fail")
    {
        FlakyPart first(context, "first", 0, stops);
        FlakyPart second(context, "second", 100, stops);
        root.add(first);
        root.add(second);
        asio::co_spawn(context, root.run(), [&](const std::exception_ptr &e) { failure = e; });
        context.run();
        CHECK(failure);
        CHECK(second.runs() == 4);
        CHECK(stops == std::vector<std::string> { "first" });
    }
}
