// The table of products. Some are configured at the start and stay; others are defined at runtime, under a name that
// covers everything that decisions about their calls depend on.
//
// Products defined at runtime are evicted again, the least recently used first, but never while a call of theirs is
// held. So the table holds a fixed number of them, or one per held call if these are more, and a held call's product
// never becomes another one.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

#include "model.hpp"

namespace myrtleroute {

class ProductTable {
public:
    static constexpr size_t max_defined = 64;   // products defined at runtime, besides those with held calls

    explicit ProductTable(std::deque<Product>& products) : products_(products) {
        size_t number = 0;
        for (auto& product : products_) product.number = number++;
        configured_ = number;
    }

    // Returns the number of the product of that name, and whether it is new. A new product may reuse the number of an
    // evicted one, so that state kept by number must be reset.
    std::pair<size_t, bool> upsert(const Product& update) {
        const auto same = [&](const Product& product) { return product.name == update.name; };
        auto known = std::find_if(products_.begin(), products_.end(), same);
        const bool fresh = known == products_.end();
        if (fresh) {
            Product& slot = free_slot();
            const size_t number = slot.number;
            slot = update;
            slot.number = number;
            known = products_.begin() + static_cast<long>(number);
        }
        known->used = ++uses_;
        return {known->number, fresh};
    }
    size_t size() const { return products_.size(); }
    Span min_slo(Span most) const {
        for (const auto& product : products_) most = std::min(most, product.slo);
        return most;
    }

private:
    Product& free_slot() {
        Product* oldest = nullptr;
        for (size_t number = configured_; number < products_.size(); ++number) {
            auto& product = products_[number];
            if (product.open_calls == 0 && (!oldest || product.used < oldest->used)) oldest = &product;
        }
        if (oldest && products_.size() >= configured_ + max_defined) return *oldest;
        Product& slot = products_.emplace_back();
        slot.number = products_.size() - 1;
        return slot;
    }

    std::deque<Product>& products_;   // references to its elements stay valid
    size_t configured_ = 0;           // the first so many are never evicted
    uint64_t uses_ = 0;
};

}  // namespace myrtleroute
