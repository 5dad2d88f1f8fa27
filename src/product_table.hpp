// The products that calls are decided as. Some are given at the start and stay; others are told while it runs, under a name
// that says all that their decisions depend on.
//
// What is told is forgotten again, the one used the longest ago first, but never while a call is of it: so the table
// holds a fixed number of told products at most, or one for each call that is held, and no name is ever another's.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

#include "model.hpp"

namespace myrtleroute {

class ProductTable {
public:
    static constexpr size_t kept = 64;   // told products, besides those that have calls

    explicit ProductTable(std::deque<Product>& products) : products_(products) {
        size_t number = 0;
        for (auto& product : products_) product.number = number++;
        given_ = number;
    }

    // The number of the product of that name, and whether nothing is known of it yet: then it may have had another name.
    std::pair<size_t, bool> tell(const Product& told) {
        const auto same = [&](const Product& product) { return product.name == told.name; };
        auto known = std::find_if(products_.begin(), products_.end(), same);
        const bool fresh = known == products_.end();
        if (fresh) {
            Product& place = free_place();
            const size_t number = place.number;
            place = told;
            place.number = number;
            known = products_.begin() + static_cast<long>(number);
        }
        known->used = ++uses_;
        return {known->number, fresh};
    }
    size_t size() const { return products_.size(); }
    Span least_slo(Span most) const {
        for (const auto& product : products_) most = std::min(most, product.slo);
        return most;
    }

private:
    Product& free_place() {
        Product* oldest = nullptr;
        for (size_t number = given_; number < products_.size(); ++number) {
            auto& product = products_[number];
            if (product.calls == 0 && (!oldest || product.used < oldest->used)) oldest = &product;
        }
        if (oldest && products_.size() >= given_ + kept) return *oldest;
        Product& place = products_.emplace_back();
        place.number = products_.size() - 1;
        return place;
    }

    std::deque<Product>& products_;   // references to its elements hold
    size_t given_ = 0;                // the first so many are not forgotten
    uint64_t uses_ = 0;
};

}  // namespace myrtleroute
