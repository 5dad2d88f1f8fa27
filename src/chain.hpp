// The chain of stages that each API call passes through; outcomes of its attempts pass through it in reverse.
#pragma once
#include <algorithm>
#include <vector>

#include "model.hpp"

namespace myrtleroute {

// What a stage does with a call: passes it to the next stage, keeps it (an attempt is open, or the stage passed the
// call on by itself), or ends it, so that the client gets its final response.
enum class Step { pass, keep, end };

class Stage {
public:
    virtual ~Stage() = default;
    virtual Step on_call(Call&) { return Step::pass; }
    virtual Step on_attempt_end(Call&, Attempt&) { return Step::pass; }
};

class Chain {
public:
    // Stages outlive the chain.
    void add(Stage& stage) { stages_.push_back(&stage); }
    // Starts at the first stage, or behind `after`.
    Step on_call(Call& c, const Stage* after = nullptr) {
        auto it = after ? std::find(stages_.begin(), stages_.end(), after) + 1 : stages_.begin();
        for (; it != stages_.end(); ++it)
            if (const Step step = (*it)->on_call(c); step != Step::pass) return step;
        return Step::keep;
    }
    Step on_attempt_end(Call& c, Attempt& attempt) {
        for (auto it = stages_.rbegin(); it != stages_.rend(); ++it)
            if (const Step step = (*it)->on_attempt_end(c, attempt); step != Step::pass) return step;
        return Step::end;
    }

private:
    std::vector<Stage*> stages_;
};

}  // namespace myrtleroute
