// The table of products beside a plain model: whatever is told and held, a call's product is the one told, what was given
// at the start stays, and the table is bounded.
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

TEST_CASE("a held call's product keeps its name, and told ones that nobody holds give way beyond a fixed number") {
    for (const uint64_t seed : {1, 2, 3}) {
        Pcg chance(seed);
        std::deque<Product> products{named("given-0"), named("given-1")};
        ProductTable table(products);
        std::vector<HeldCall> held;
        size_t most_held = 0;
        for (int step = 0; step < 20000; ++step) {
            const bool many_calls = step / 2000 % 2 == 1;
            if (!held.empty() && chance.uniform() < (many_calls ? 0.4 : 0.6)) {
                const auto at = static_cast<size_t>(chance.uniform() * static_cast<double>(held.size()));
                --held[at].product->calls;
                held.erase(held.begin() + static_cast<long>(at));
            } else {
                const auto name = "told-" + std::to_string(static_cast<int>(chance.uniform() * 1000));
                const auto [number, fresh] = table.tell(named(name));
                REQUIRE(number >= 2);
                CHECK(products[number].name == name);
                CHECK(products[number].number == number);
                ++products[number].calls;
                held.push_back({&products[number], name});
            }
            most_held = std::max(most_held, held.size());
            for (const auto& call : held) REQUIRE(call.product->name == call.name);
            REQUIRE(table.size() <= 2 + std::max(ProductTable::kept, most_held) + 1);
        }
        CHECK(products[0].name == "given-0");
        CHECK(products[1].name == "given-1");
        CHECK(table.tell(named("given-1")) == std::pair<size_t, bool>{1, false});
    }
}

TEST_CASE("of the told products without calls the one used the longest ago gives way first") {
    std::deque<Product> products;
    ProductTable table(products);
    for (size_t n = 0; n < ProductTable::kept; ++n) table.tell(named(std::to_string(n)));
    CHECK(table.tell(named("0")) == std::pair<size_t, bool>{0, false});
    CHECK(table.tell(named("new")) == std::pair<size_t, bool>{1, true});
    CHECK(table.tell(named("0")) == std::pair<size_t, bool>{0, false});
    CHECK(table.tell(named("1")) == std::pair<size_t, bool>{2, true});
}
