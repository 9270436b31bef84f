#include <LibJob/JobId.h>

#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <vector>

using Jobs::JobId;

namespace {

/// Names around the lengths up to which strings are held inside their objects.
std::vector<std::string> names()
{
    return { "",
             "a",
             std::string("a\0b", 3),
             "\xff",
             "5c0e7a21d94b36f",
             "5c0e7a21d94b36f8",
             "5c0e7a21d94b36f9",
             "5c0e7a21d94b36f8123456",
             "5c0e7a21d94b36f81234567",
             std::string(300, 'z') };
}

} // namespace

TEST_CASE("A job's name keeps its text")
{
    for (const std::string &name : names()) {
        const JobId id(name);
        CHECK(id.text() == name);
        CHECK(id.view() == name);
        CHECK(id.isEmpty() == name.empty());
        std::ostringstream stream;
        stream << id;
        CHECK(stream.str() == name);
        JobId moved = JobId(id);
        const JobId target = std::move(moved);
        CHECK(target == id);
    }
    CHECK(JobId().isEmpty());
}

TEST_CASE("Names of jobs are ordered and hashed like their texts")
{
    for (const std::string &left : names()) {
        CHECK(std::hash<JobId>()(JobId(left)) == std::hash<std::string>()(left));
        for (const std::string &right : names()) {
            CHECK((JobId(left) <=> JobId(right)) == (left <=> right));
            CHECK((JobId(left) == JobId(right)) == (left == right));
        }
    }
}
