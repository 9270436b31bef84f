#include <LibSite/KeyDirectory.h>

#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <type_traits>
#include <vector>

using namespace Site;

namespace {

template<typename Type>
concept Streamable = requires(std::ostream &stream, const Type &value)
{
    stream << value;
};

// Guards against a key in a log line, which would need only one `<<`.
static_assert(!Streamable<Jobs::ApiKey>);
static_assert(!Streamable<Jobs::Customer>);
static_assert(!std::is_convertible_v<Jobs::ApiKey, std::string>);

Jobs::Customer customer(const std::string &name, const std::vector<std::string> &keys)
{
    Jobs::Customer customer;
    customer.id = Core::CustomerId(name);
    for (const std::string &key : keys)
        customer.keys.emplace_back(key);
    return customer;
}

} // namespace

// Guards against a key that is refused, and against a key that counts for another customer.
TEST_CASE("Each key of each customer leads to the customer, and no other text does")
{
    const KeyDirectory keys({ customer("a", { "key-a1", "key-a2" }), customer("b", { "key-b" }),
                              customer("without keys", {}) });
    CHECK(keys.find("key-a1") == Core::CustomerId("a"));
    CHECK(keys.find("key-a2") == Core::CustomerId("a"));
    CHECK(keys.find("key-b") == Core::CustomerId("b"));
    for (const char *other : { "", "key-a", "key-a11", "KEY-A1", " key-a1", "key-a1 ", "a" })
        CHECK_FALSE(keys.find(other));
}

// Guards against a text that is cut off at a zero byte before it is compared.
TEST_CASE("Keys are compared with all their bytes")
{
    const std::string key("key\0one", 7);
    const KeyDirectory keys({ customer("a", { key }) });
    CHECK(keys.find(key) == Core::CustomerId("a"));
    CHECK_FALSE(keys.find("key"));
    CHECK_FALSE(keys.find(std::string("key\0two", 7)));
}

// Guards against keys that collide or get lost among some hundreds of customers.
TEST_CASE("The keys of 500 customers are told apart")
{
    constexpr int count = 500;
    std::vector<Jobs::Customer> customers;
    for (int i = 0; i < count; ++i) {
        const std::string name = "c" + std::to_string(i);
        customers.push_back(customer(name, { name + "-one", name + "-two" }));
    }
    const KeyDirectory keys(customers);
    for (const Jobs::Customer &expected : customers) {
        for (const Jobs::ApiKey &key : expected.keys)
            CHECK(keys.find(key.secret()) == expected.id);
    }
    CHECK_FALSE(keys.find("c500-one"));
    CHECK_FALSE(KeyDirectory().find("c1-one"));
}
