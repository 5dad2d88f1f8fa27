// Random operations on the product table: a held call keeps the product that was defined for it, products configured at
// the start stay, and the size of the table is bounded.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "product_table.hpp"
#include "random.hpp"

using namespace myrtleroute;

namespace {

Product named(const std::string& name) {
    Product product;
    product.name = name;
    product.slo = Span{1};
    return product;
}

struct HeldCall {
    Product* product;
    std::string name;
};

}   // namespace

TEST_CASE("a held call's product keeps its name, and unused runtime products are evicted beyond a fixed number") {
    for (const uint64_t seed : {1, 2, 3}) {
        Pcg rng(seed);
        std::deque<Product> products{named("configured-0"), named("configured-1")};
        ProductTable table(products);
        std::vector<HeldCall> held;
        size_t most_held = 0;
        for (int step = 0; step < 20000; ++step) {
            const bool many_calls = step / 2000 % 2 == 1;
            if (!held.empty() && rng.uniform() < (many_calls ? 0.4 : 0.6)) {
                const auto at = static_cast<size_t>(rng.uniform() * static_cast<double>(held.size()));
                --held[at].product->open_calls;
                held.erase(held.begin() + static_cast<long>(at));
            } else {
                const auto name = "defined-" + std::to_string(static_cast<int>(rng.uniform() * 1000));
                const auto [number, fresh] = table.upsert(named(name));
                REQUIRE(number >= 2);
                CHECK(products[number].name == name);
                CHECK(products[number].number == number);
                ++products[number].open_calls;
                held.push_back({&products[number], name});
            }
            most_held = std::max(most_held, held.size());
            for (const auto& call : held) REQUIRE(call.product->name == call.name);
            REQUIRE(table.size() <= 2 + std::max(ProductTable::max_defined, most_held) + 1);
        }
        CHECK(products[0].name == "configured-0");
        CHECK(products[1].name == "configured-1");
        CHECK(table.upsert(named("configured-1")) == std::pair<size_t, bool>{1, false});
    }
}

TEST_CASE("of the runtime products without calls the least recently used is evicted first") {
    std::deque<Product> products;
    ProductTable table(products);
    for (size_t n = 0; n < ProductTable::max_defined; ++n) table.upsert(named(std::to_string(n)));
    CHECK(table.upsert(named("0")) == std::pair<size_t, bool>{0, false});
    CHECK(table.upsert(named("new")) == std::pair<size_t, bool>{1, true});
    CHECK(table.upsert(named("0")) == std::pair<size_t, bool>{0, false});
    CHECK(table.upsert(named("1")) == std::pair<size_t, bool>{2, true});
}
