// The chain of stages that each API call runs through; what comes back runs through it in reverse.
#pragma once
#include <algorithm>
#include <vector>

#include "model.hpp"

namespace myrtleroute {

// A stage passes a call on, keeps it (something is out, or it went on by itself) or ends it.
enum class Step { pass, keep, end };

class Stage {
public:
    virtual ~Stage() = default;
    virtual Step there(Call&) { return Step::pass; }
    virtual Step back(Call&, Shot&) { return Step::pass; }
};

class Chain {
public:
    void add(Stage& stage) { stages_.push_back(&stage); }
    Step there(Call& c, const Stage* after = nullptr) {
        auto it = after ? std::find(stages_.begin(), stages_.end(), after) + 1 : stages_.begin();
        for (; it != stages_.end(); ++it)
            if (const Step step = (*it)->there(c); step != Step::pass) return step;
        return Step::keep;
    }
    Step back(Call& c, Shot& shot) {
        for (auto it = stages_.rbegin(); it != stages_.rend(); ++it)
            if (const Step step = (*it)->back(c, shot); step != Step::pass) return step;
        return Step::end;
    }

private:
    std::vector<Stage*> stages_;
};

}  // namespace myrtleroute
