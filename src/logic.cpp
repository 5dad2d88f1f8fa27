// All decisions of myrtleroute: where each API call's shots go while things fail; logic.hpp has the events,
// docs/design.md the mechanism. Below: Desk (what all share), Fleet (list, pool, choice, health), the stages
// of the chain from the API call's side to the servers' side, and the Balancer, which feeds them.
#include "logic.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_map>
#include <utility>

#include "chain.hpp"
#include "median.hpp"
#include "product_table.hpp"
#include "random.hpp"

namespace myrtleroute {
namespace {

// The design's figures. Spans and counts that settings give are used as ratios where they are needed.
constexpr Span interval{10};                       // between resizes of the pool
constexpr Span tick = interval * (1.0 / 40);       // between looks at medians, limit and quarantine
constexpr Span penalty{5};                         // how long a failure counts
constexpr double penalty_weight = 25;              // calls busier, also the most a member should carry
constexpr Span hair{1e-6};                         // what rounding may take off a wake's time
constexpr Span most_silence{1};
constexpr double outstanding = 0.1;                // share of failures above the median's
constexpr double most_wait = 0.55;                 // of the SLO
constexpr size_t first_size = 10, least_size = 4, most_size = 200;
constexpr Span report_counts{2};                   // a server's word on what it holds, less and less
constexpr double begun_weight = 0.3;               // of a call whose answer is under way, by known slots
constexpr double full_at = 1.25;                   // calls held at a server over its slots
constexpr int worn = 6;                            // calls a member takes in an interval, else the pool grows
constexpr uint64_t tick_cookie = 1ULL << 60, list_cookie = tick_cookie + 1;   // call ids stay below

struct Desk {
    Settings set;
    Actions& out;
    Pcg chance;
    Time now;
};

// The same share of [0, 1) for a key and a server at every balancer.
double draw(uint64_t key, uint64_t server) {
    Pcg mixed(key * 0x9e3779b97f4a7c15ULL ^ server);
    mixed.next();
    return mixed.uniform();
}

bool idempotent(const Call& c) { return c.product->repeat == Idempotency::idempotent; }

// Until when an answer is worth anything; later ones are not worth a further shot.
Time useful_until(const Call& c) {
    return c.product->late_value > 0 ? c.give_up : std::min(c.give_up, c.arrived + c.product->slo);
}

bool same_group(const Product& p, const Server& a, const Server& b) {
    return p.group == Group::all || (p.group == Group::zone ? a.zone == b.zone : a.cell == b.cell);
}

// No effect twice: whether a shot of the call, a further one or that one, may go to this server now.
bool may_send(const Call& c, const Server& s, Time now, const Shot* that = nullptr) {
    for (const auto& shot : c.shots) {
        if (&shot == that || idempotent(c) || !shot.may_have_run()) continue;
        if (c.product->repeat == Idempotency::non_idempotent) return false;
        if (!same_group(*c.product, *shot.server, s) || now - shot.sent >= c.product->window) return false;
    }
    return true;
}

// A rate-limit reply tells the client that a retry is harmless.
bool may_rate_limit(const Call& c) {
    if (idempotent(c)) return true;
    if (c.product->repeat == Idempotency::deduplicated && c.product->group == Group::all) return true;
    return std::none_of(c.shots.begin(), c.shots.end(), [](const Shot& s) { return s.may_have_run(); });
}

class Fleet {
public:
    explicit Fleet(Desk& desk) : desk_(desk), cutting_(desk.set.tail && desk.set.cancel), started_(desk.now) {
        tail_.assign(desk.set.products.size(), SlidingWindow<2>(penalty));
        products_.assign(desk.set.products.size(), Kind(penalty));
        tenants_.assign(desk.set.allowances.size() + 1, Kind(penalty));
        least_slo_ = table_.least_slo(interval);
    }
    uint32_t define_product(const Product& told) {
        const auto [number, fresh] = table_.tell(told);
        if (!fresh) return static_cast<uint32_t>(number);
        tail_.resize(table_.size(), SlidingWindow<2>(penalty));
        tail_[number] = SlidingWindow<2>(penalty);
        products_.resize(table_.size(), Kind(penalty));
        products_[number] = Kind(penalty);
        for (auto& [id, s] : known_) {
            s->full_until.resize(table_.size(), long_ago);
            s->full_until[number] = long_ago;
        }
        least_slo_ = table_.least_slo(interval);
        return static_cast<uint32_t>(number);
    }
    void data_received(ServerId id) {
        if (auto* s = find(id)) s->last_heard = last_heard_ = desk_.now;
    }
    void load_reported(ServerId id, double held) {
        auto* s = find(id);
        if (!s) return;
        s->others = std::max(0.0, held - s->load());
        s->reported = desk_.now;
    }
    Server* find(ServerId id) {
        const auto it = known_.find(id);
        return it == known_.end() ? nullptr : it->second.get();
    }

    // The list.
    void list_began(bool whole, bool cached) {
        if (!cached) asked_again_ = 0;
        if (whole)
            for (auto* s : listed_)
                if (std::exchange(s->state, State::gone) != State::gone) s->vouched = desk_.now;
    }
    void server_listed(ServerId id, uint16_t zone, uint16_t cell, State state, double size, Time launched) {
        auto& slot = known_[id];
        if (slot && launched > slot->launched && !slot->drained) restarted_ = desk_.now;
        if (!slot) {
            slot = std::make_unique<Server>(penalty);
            slot->full_until.assign(desk_.set.products.size(), long_ago);
            slot->id = id;
            listed_.push_back(slot.get());
        }
        slot->zone = zone;
        slot->cell = cell;
        if (state != State::gone || slot->state != State::gone) slot->vouched = desk_.now;
        slot->state = state;
        const bool anew = state == State::ready && launched > slot->launched;
        slot->drained = (slot->drained && !anew) || state == State::draining;
        if (size <= 0) size = 1;
        // A live weight is the size only while the server holds nothing.
        slot->size = desk_.set.live_weights && slot->launched >= launched ? std::max(slot->size, size) : size;
        if (launched <= slot->launched) return;
        slot->launched = launched;
        slot->credit = desk_.chance.uniform();   // so that balancers' turns at it are spread
    }
    void list_ended() {
        std::sort(listed_.begin(), listed_.end(), [](auto* a, auto* b) { return a->id < b->id; });
        arrange();
        refill();
    }
    // Asks again with growing, random waits that spare the list service, but in time for drains.
    void list_failed() {
        const Span most = std::min(desk_.set.ask_within, most_untold);
        const Span wait = most * (std::min(16, 1 << asked_again_) / 40.0);
        asked_again_ = std::min(4, asked_again_ + 1);
        desk_.out.set_timer(wait * (0.5 + desk_.chance.uniform() / 2), list_cookie);
    }

    // The pool: members_ are the first of order_, so that each balancer has a stable part of its own.
    void note_in_flight(int delta) {
        in_flight_ += delta;
        peak_ = std::max(peak_, in_flight_);
        // A burst is over before the interval is, so growth does not wait for it; shrinking does. Guards
        // against one with far more short calls than others, hardly any in flight, wearing out a few servers.
        if (wanted(in_flight_) <= members_.size() || members_.size() >= order_.size()) return;
        target_ = wanted(in_flight_);
        refill();
    }
    size_t wanted(int in_flight) const { return static_cast<size_t>(std::max(in_flight, placed_ / worn)); }
    double share() const { return 3.0 * order_.size() / desk_.set.balancers; }
    // Twice the share where that is a third of the servers at most, so that pools of small fleets differ.
    size_t floor() const {
        const double wide = std::min(2 * share(), order_.size() / 3.0);
        return std::max(least_size, static_cast<size_t>(std::ceil(std::max(share(), wide))));
    }
    void resize() {
        const auto size = std::clamp(wanted(peak_), floor(), most_size);
        target_ = size < target_ ? std::max(size, target_ - 2) : size;   // shrinks by two at most
        peak_ = in_flight_, placed_ = 0;
        arrange();
        refill();
    }

    // The choice: the member with the fewest own calls in flight, per size; ties break randomly. Penalised
    // members are for when no other is left; when no member may take it, any listed server beats no answer.
    // Guards against driving all calls to the last few: with over half the pool penalised, none counts.
    Server* choose(Call& c) {
        find_homes(c);
        const auto blamed = [this](auto* s) { return desk_.now < s->penalty_until; };
        wide_ = 2 * std::count_if(members_.begin(), members_.end(), blamed) > std::ssize(members_);
        const double part = most_wait * worthiness(c), all = least_slo_.s * part;
        const double wait = all - (desk_.now - c.arrived).s * part;
        for (auto& [zone, side] : sides_) {
            side.risk = side.late.total(desk_.now, risked) / (side.late.total(desk_.now, tried) + 2);
            const double n = side.lately.total(desk_.now, shots) + 2;
            // Where late calls are called off, chance has all its slack up to half of the SLO, soon none.
            const double most = cutting_ ? least_slo_.s * 0.6 : all, steep = cutting_ ? 6 : 1;
            const double taken = side.lately.total(desk_.now, spans) / n / most;
            const double calm = std::clamp(steep * (1 - taken), 0.0, 1.0);
            side.room = side.rate * wait;
            const double answered = side.lately.total(desk_.now, answers) + 2;
            side.crowd = std::clamp(2 * side.lately.total(desk_.now, waits) / answered / most - 1, 0.0, 1.0);
            if (wait > 0) side.room += 3 * calm * std::sqrt((side.room + cutting_) / std::max(1.0, share()));
            side.floor = side.held = side.all = side.strength = 0;
        }
        for (auto* s : members_) {
            auto& side = side_of(*s);
            side.floor += std::max(1.0, share()) / members_.size();
            // Guards against calls to a zone cut off standing for a queue at servers within reach: what hangs
            // at servers that are silent or out of use counts the less, the quicker others answer.
            const bool off = s->quarantined || penalised(*s, c);
            if (!off) side.strength += strength(*s);
            side.all += queue(*s);
            side.held += queue(*s) * (off || silent(*s) ? side.crowd : 1);
        }
        bool no_room = false;
        for (const auto* among : {&members_, &order_})
            for (const bool last : {false, true})
                if (auto* best = pick(*among, c, last, no_room); best || no_room) return best;
        return nullptr;
    }

    // Work told ahead: a heavy call counts as several in flight. Guards against light calls placed behind it.
    void weigh(Call& c) {
        if (c.work <= Span{}) return;
        usual_work_ += (c.work.s - usual_work_) / (usual_work_ > 0 ? 2 * penalty_weight : 1);
        c.weight = std::clamp(c.work.s / usual_work_, 0.1, 10.0);
    }
    // Seconds that answers lately took for each second of work told ahead, 0 where none is told.
    double pace() {
        const double told = paced_.total(desk_.now, foretold);
        return told > 0 ? paced_.total(desk_.now, waited) / told : 0;
    }
    // Guards against one tenant's or product's calls taking long at every server and holding up all others:
    // while three quarters of them miss their SLO and most others don't, all but one a while are turned away.
    bool drags(const Call& c) {
        for (auto* kind : kinds(c)) {
            const double n = kind->count(desk_.now, asked), bad = kind->count(desk_.now, missed);
            const double others = all_.count(desk_.now, asked) - n;
            const double worse = all_.count(desk_.now, missed) - bad;
            const bool alone = n >= 6 && others >= 4 && 4 * bad >= 3 * n && 2 * worse <= others;
            if (alone && desk_.now < kind->tried + penalty) return true;
        }
        for (auto* kind : kinds(c)) kind->tried = desk_.now;
        return false;
    }
    // A client's further try whose time is cut short by the client timeout tells when the first one came.
    Time first_came(const Product& p, Time end) const {
        return end - desk_.now < p.patience * 0.98 ? std::min(desk_.now, end - p.client_timeout) : desk_.now;
    }
    // Whether one more of its product may be late at no cost; what was rate-limited in time is none.
    bool borne(const Call& c) {
        auto& recent = tail_[kind(c)];
        return recent.total(desk_.now, missed) + 1 <= desk_.set.borne_misses * recent.total(desk_.now, asked);
    }
    // Guards against calls that can only be late, where that costs more than a refusal, holding up others. As
    // many as cost nothing are let in: late, they still have some value.
    bool hopeless(const Call& c) {
        if (!desk_.set.tail) return false;
        auto& recent = tail_[kind(c)];
        recent.add(desk_.now, asked);
        if (cuts(c) && (desk_.now > c.arrived + last_use(c) || drags(c))) return true;
        const Span expected = c.work * pace();
        if (expected <= Span{} || desk_.now + expected <= c.arrived + c.product->slo) return false;
        if (!borne(c)) return true;
        recent.add(desk_.now, missed);
        return false;
    }

    void sent(Shot& shot) {
        const auto& side = side_of(*shot.server);
        const bool lent = side.all >= std::max(side.floor, side.room) && warm_share(*shot.server) >= 1;
        for (auto* s : members_) earn(*s, lent);
        shot.server->open.push_back(&shot);
        turn_ = std::max(turn_, shot.server->turn);
        ++placed_;
        note_in_flight(+1);
    }

    void ended(Shot& shot) {
        Server& s = *shot.server;
        Product& p = *shot.call->product;
        Zone& side = side_of(s);
        s.open.erase(std::find(s.open.begin(), s.open.end(), &shot));
        take_turn(s);
        // A shot given up mostly still runs or waits there, so it counts until one sent later is answered.
        const bool given_up = shot.outcome == Outcome::timed_out || shot.outcome == Outcome::cancelled;
        const bool beaten = given_up && shot.call->served();   // by the call's other copy
        const bool holds = given_up && !beaten && shot.sent >= s.answered_sent;
        if (holds) s.ghosts.push_back({shot.sent, shot.call->weight});
        else note_in_flight(-1);
        const double took = (desk_.now - shot.sent).s;
        const bool fulfilled = shot.outcome == Outcome::fulfilled;
        if (!beaten && (given_up || fulfilled)) {
            const bool late = given_up || desk_.now > shot.call->arrived + p.slo;
            if (late && !(given_up && shot.call->ended)) tail_[kind(*shot.call)].add(desk_.now, missed);
            all_.add(desk_.now, late);
            for (auto* kind : kinds(*shot.call)) kind->add(desk_.now, late);
        }
        if (given_up || fulfilled) {
            side.lately.add(desk_.now, shots);
            side.lately.add(desk_.now, spans, std::min(took, least_slo_.s));   // else one that hangs says all
            side.late.add(desk_.now, tried);
            side.late.add(desk_.now, risked, std::min(1.0, std::pow(took / p.slo.s, 4)));
        }
        if (p.took > 0 && (given_up || fulfilled)) {
            s.record.add(desk_.now, spent, took);
            const double told = shot.call->work.s * pace(), usual = told > 0 ? told : p.took;
            s.record.add(desk_.now, expected, usual / relative_size(s) / warm_share(s));
        }
        switch (shot.outcome) {
            case Outcome::fulfilled:
                heard(s);
                s.vouched = desk_.now;
                s.answered_sent = std::max(s.answered_sent, shot.sent);
                lay_ghosts(s, shot.sent);
                side.lately.add(desk_.now, answers);
                side.lately.add(desk_.now, waits, took);
                if (shot.call->work > Span{}) {
                    paced_.add(desk_.now, waited, took);
                    paced_.add(desk_.now, foretold, shot.call->work.s);
                }
                p.quick = p.quick > 0 ? p.quick * (1 + 0.05 * (0.2 - (took < p.quick))) : took;
                p.took = p.took > 0 ? p.took + (std::min(took, p.slo.s) - p.took) / penalty_weight : took;
                s.record.add(desk_.now, answered);
                s.record.add(desk_.now, replied, took);
                return;
            case Outcome::errored: heard(s); [[fallthrough]];
            case Outcome::reset: return blame(s, stands_out(s));
            case Outcome::full:
                // Guards against servers that turn only one product away counting as over half of the pool.
                s.full_until[kind(*shot.call)] = desk_.now + penalty;
                heard(s);
                return blame(s, s.record.total(desk_.now, answered) == 0);
            case Outcome::connect_failed:
                lay_ghosts(s, desk_.now);
                if (s.state == State::gone) s.absent_until = desk_.now + interval;
                return blame(s);
            case Outcome::timed_out:
                // A server that answered others meanwhile was not silent: the call itself may be heavy.
                return blame(s, s.last_heard < shot.sent || stands_out(s));
            case Outcome::cancelled: case Outcome::never_sent: return;
        }
    }

    // Guards against a drain or the end of a window that came while the shot's connection was coming up.
    bool may_start(const Shot& shot) const {
        return serves(*shot.server) && may_send(*shot.call, *shot.server, desk_.now, &shot);
    }
    bool restarting() const { return desk_.now < restarted_ + interval * 2; }

    void lay_ghosts(Server& s, Time sent_by) {
        const auto laid = std::erase_if(s.ghosts, [&](const auto& ghost) { return ghost.sent <= sent_by; });
        note_in_flight(-static_cast<int>(laid));
    }

    // Silence: a shot has waited this long while its server said nothing at all and others answered.
    Span silence(const Call& c) const {
        return std::min(most_silence, std::max((c.give_up - c.arrived) * 0.5, c.product->slo));
    }
    // Guards against late answers that cost more than a refusal: given up and told so just before the SLO.
    bool cuts(const Call& c) const { return cutting_ && may_rate_limit(c); }
    bool gives_up(const Call& c) { return cuts(c) && !(c.product->late_value > 0 && borne(c)); }
    Span last_use(const Call& c) const { return c.product->slo * 0.95; }
    Span overdue(const Call& c) const { return {3 * c.product->quick * std::max(1.0, c.weight)}; }
    void heard_nothing(const Shot& shot) {
        Server& s = *shot.server;
        if (s.last_heard >= shot.sent || last_heard_ <= shot.sent || s.quarantined) return;
        return desk_.set.probing ? probe(s) : blame(s);
    }
    void probe(Server& s) {
        if (s.probing || !desk_.set.probing) return;
        s.probing = true;
        desk_.out.probe(s.id);
    }
    void probe_ended(Server& s, bool reply) {
        s.probing = false;
        if (reply) {
            if (s.quarantined) desk_.out.log("probe answered, back in the pool:", s.id);
            s.quarantined = false;
            s.last_heard = desk_.now;
            settle_trial(s);
            return;
        }
        if (&s == replacement_) replacement_ = nullptr;   // then the old one stays
        if (s.quarantined || !s.member || !serves(s)) return;
        // Wide trouble is no member's fault: never more than half the pool.
        size_t out = 1;
        for (auto* m : members_) out += m->quarantined;
        if (2 * out > members_.size()) return;
        s.quarantined = true;
        ++s.offences;
        desk_.out.log("no answer and no probe reply, quarantined:", s.id);
        if (!desk_.set.cancel) return;
        for (auto* shot : s.open)
            if (idempotent(*shot->call) && !shot->call->streaming && !shot->called_off) {
                shot->called_off = true;   // sent again once the cancel's outcome is in
                desk_.out.cancel(shot->call->id, shot->number);
            }
    }

    // Every tick: take rates and the median, look after the quarantined, replace repeat offenders.
    void look() {
        const Span seen = std::min(desk_.now - started_, most_silence * 2);
        for (auto& [zone, side] : sides_)
            side.rate = std::max(side.rate * 0.95, side.lately.total(desk_.now, answers) / seen.s);
        std::vector<double> shares;
        for (auto* s : members_) {
            const double n = s->record.total(desk_.now, answered), bad = s->record.total(desk_.now, failed);
            if (n + bad > 0) shares.push_back(bad / (n + bad));
        }
        median_share_ = median(shares, 0);
        for (auto* s : listed_) {
            lay_ghosts(*s, desk_.now - (cutting_ ? least_slo_ : penalty));
            if (!s->member || !s->quarantined || desk_.now < s->next_probe) continue;
            s->next_probe = desk_.now + most_silence;
            probe(*s);
        }
        replace();
        forget();
        settle();
    }

private:
    // Where only draining binds, a list that calls a server gone is believed for an interval after a failed
    // connect, alone it is not. Guards against lists that shrink, are empty or old; a drain told once holds.
    bool serves(const Server& s) const {
        if (!desk_.set.drain_binds_alone) return s.state == State::ready;
        if (s.drained || s.state == State::ready) return !s.drained;
        return desk_.now >= s.absent_until && desk_.now < s.vouched + gone_server_retention;
    }
    // Guards against growth where new machines come under new ids all day.
    void forget() {
        const auto forgotten = std::erase_if(listed_, [this](auto* s) {
            const bool used = s->named || s->probing || (replacement_ && s == replaced_);
            const bool kept = desk_.set.drain_binds_alone && desk_.now < s->vouched + gone_server_retention;
            if (s->state != State::gone || used || kept) return false;
            lay_ghosts(*s, desk_.now);
            if (s->member) leave(*s);   // time alone has put it out of use, no list
            std::erase(order_, s);
            return known_.erase(s->id) == 1;
        });
        if (forgotten > 0) refill();
    }
    void heard(Server& s) { s.last_answer = s.last_heard = last_heard_ = desk_.now; }
    void blame(Server& s, bool penalise = true) {
        s.record.add(desk_.now, failed);
        if (penalise) s.penalty_until = desk_.now + penalty;
    }
    // Guards against stray errors and resets idling sound servers: held against one whose share of failures,
    // this one included, stands out from the fleet's median.
    bool stands_out(Server& s) const {
        const double bad = s.record.total(desk_.now, failed) + 1;
        return bad / (bad + s.record.total(desk_.now, answered)) > median_share_ + outstanding;
    }

    // Members are taken along the sorted list from a place of this balancer's own. Where crossing is dear,
    // every third is of the other zones in turn, the least at risk first. Guards against a zone that jams
    // while the next is idle.
    void arrange() {
        std::map<std::pair<double, uint16_t>, std::vector<Server*>> zones;   // abroad, by risk
        for (auto* s : listed_)
            if (serves(*s)) zones[{far(*s) ? 1 + side_of(*s).risk : 0, far(*s) ? s->zone : 0}].push_back(s);
        const size_t others = zones.size() - zones.count({0, 0});
        std::multimap<size_t, Server*> places;
        for (size_t other = 0; auto& [zone, part] : zones) {
            const size_t from = desk_.set.me % desk_.set.balancers * part.size() / desk_.set.balancers;
            for (size_t i = 0; i < part.size(); ++i)
                places.emplace(zone.first > 0 ? 3 * (i * others + other) + 2 : i / 2 * 3 + i % 2,
                               part[(from + i) % part.size()]);
            other += zone.first > 0;
        }
        order_.clear();
        for (auto& [place, s] : places) order_.push_back(s);
    }
    void refill() {
        std::erase_if(members_, [this](auto* s) { return !(s->member = s->member && serves(*s)); });
        const size_t size = std::min(std::max(target_, floor()), order_.size());
        for (auto* s : order_)
            if (members_.size() < size && !s->member) join(*s);
        for (auto it = order_.rbegin(); it != order_.rend() && members_.size() > size; ++it)
            if ((*it)->member) leave(**it);
        size_sum_ = 0;
        for (auto* s : members_) size_sum_ += s->size;
    }
    // Guards against servers that are new, or were gone, staying idle: one joins at a time, spread by chance.
    void settle() {
        const auto end = order_.begin() + static_cast<long>(std::min(members_.size(), order_.size()));
        auto due = std::find_if(order_.begin(), end, [](auto* s) { return !s->member && s->offences < 3; });
        if (due == end || replacement_ || desk_.chance.uniform() * interval.s > 4 * tick.s) return;
        join(**due);
        refill();
    }
    void join(Server& s) {
        s.member = true;
        s.quarantined = false;
        s.offences = 0;
        members_.push_back(&s);
    }
    void leave(Server& s) {
        s.member = false;
        members_.erase(std::find(members_.begin(), members_.end(), &s));
        if (s.open.empty()) desk_.out.close_idle(s.id);
    }

    double warm_share(const Server& s) const {
        const double age = (desk_.now - s.launched) / desk_.set.warm_after;
        return age >= 1 ? 1 : desk_.set.start_capacity + (1 - desk_.set.start_capacity) * std::max(0.0, age);
    }
    double relative_size(const Server& s) const {
        return s.size * std::max<size_t>(1, members_.size()) / std::max(size_sum_, s.size);
    }
    double strength(const Server& s) const { return s.size * warm_share(s); }
    // No cold server pushed over by hundreds of balancers, none of which knows the others: with each call
    // placed it earns its warm share of a turn, times three quarters of what the rule allows. Calls turned
    // away, or lent the room of those that hang, earn none. A turn not taken lapses, else bursts take many.
    void earn(Server& s, bool lent) const {
        const double warm = warm_share(s);
        if (warm >= 1) return;
        if (s.credit >= 1) s.credit -= 1;
        if (!lent) s.credit += warm * s.size / std::max(size_sum_, s.size) * desk_.set.tip_multiple * 0.75;
    }
    // By Little's law a call that joins those held at a server is answered after about their number over its
    // rate of answers: it is kept off where that leaves too little of its SLO, rate-limited where all are so
    // full. This balancer's share, one at least, is let in, so that the rate can show itself. Guards against
    // a few calls that hang or are heavy shutting out all others: one that is out longer than may be waited,
    // and three times what answers lately took there, is no queue once a later one came.
    double queue(Server& s) const {
        const double n = std::max(1.0, s.record.total(desk_.now, answered));
        const Span mean{s.record.total(desk_.now, replied) / n};
        const Time by = std::min(s.answered_sent, desk_.now - std::max(least_slo_ * most_wait, mean * 3));
        return s.held() - std::ranges::count_if(s.open, [by](auto* shot) { return shot->sent <= by; });
    }
    // To calls, also those given up: one that hangs may well answer probes.
    bool silent(const Server& s) const {
        Time first = s.open.empty() ? desk_.now : s.open[0]->sent;
        if (!s.ghosts.empty()) first = std::min(first, s.ghosts[0].sent);
        return s.last_answer < first && desk_.now - first > least_slo_ * most_wait;
    }
    double others(const Server& s) const {
        return s.others * std::clamp(1 - (desk_.now - s.reported) / report_counts, 0.0, 1.0);
    }
    bool has_room(Server& s) {
        if (desk_.set.known_slots) return s.held() + others(s) < s.size * full_at;
        const auto& side = side_of(s);
        const double own = side.room * strength(s) / std::max(side.strength, strength(s));
        if (queue(s) >= std::max({1.0, share() / members_.size(), own})) return false;
        // Guards against cold servers left idle in a release: the warm hold all room; turns bound the cold.
        if (warm_share(s) < 1 || desk_.now < started_ + most_silence) return true;
        return side.held < std::max(side.floor, side.room);
    }
    bool far(const Server& s) const { return !at_home(s) && price_of_crossing() > 1; }   // limited apart
    Zone& side_of(const Server& s) { return sides_[far(s) ? s.zone : desk_.set.zone]; }
    bool at_home(const Server& s) const { return s.zone == desk_.set.zone; }
    double price_of_crossing() const { return desk_.set.cross_price * penalty_weight / 2; }   // in calls
    double worthiness(const Call& c) const {
        double best = 0;
        for (const auto& p : desk_.set.products)
            if (p.took > 0) best = std::max(best, p.value / p.took);
        return best > 0 && c.product->took > 0 ? 0.6 + 0.4 * c.worth / c.product->took / best : 0.6;
    }

    std::array<Kind*, 2> kinds(const Call& c) {
        return {&tenants_[std::min<size_t>(c.tenant, tenants_.size() - 1)], &products_[kind(c)]};
    }
    size_t kind(const Call& c) const { return c.product->number; }
    bool penalised(const Server& s, const Call& c) const {
        return desk_.now < s.full_until[kind(c)] || (!wide_ && desk_.now < s.penalty_until);
    }
    double slowness(Server& s, double more) const {   // what its shots lately took beyond the mean, over it
        const double usual = s.record.total(desk_.now, expected), took = s.record.total(desk_.now, spent);
        return usual > 0 ? std::max(0.0, took - usual) / (usual + more) : 0;
    }
    // Members that tie take turns, in an order of chance: each is due a round after it was last busy, or left
    // out, and later where its calls take long, so slow ones have none to catch up.
    void take_turn(Server& s) {
        s.turn = turn_ + (0.5 + desk_.chance.uniform()) * (1 + 2 * slowness(s, 0)) / relative_size(s);
    }
    Server* pick(const std::vector<Server*>& among, const Call& c, bool last, bool& no_room) {
        Server* best = nullptr;
        std::pair<double, double> least{HUGE_VAL, 0};
        const auto consider = [&](Server* s) {
            if (s->quarantined || !serves(*s) || !may_send(c, *s, desk_.now)) return;
            if (penalised(*s, c) != last) return;
            const double warm = warm_share(*s);
            if (warm < 1 && s->credit < 1) return;
            if (!has_room(*s)) {
                no_room = true;
                return;
            }
            // Idle members tie whatever their size; a cold one takes its turn first.
            const bool by_key = c.key && c.pull <= 0 && s->held() == 0;
            if (s->turn < turn_) take_turn(*s);
            const double turn = by_key ? -std::pow(draw(c.key, s->id), 1 / s->size) : s->turn;
            const std::pair cost{busyness(*s, c, warm), warm < 1 ? turn - 1e9 : turn};
            if (cost < least) best = s, least = cost;
        };
        for (auto* s : among) consider(s);
        for (auto* s : c.homes)
            if (s && &among == &members_ && !s->member) consider(s);
        return best;
    }
    // What a call needs lies where its key is drawn the highest; the second place is for when that is busy.
    void find_homes(Call& c) {
        if (c.pull <= 0) return;
        double highest[2] = {-1, -1};
        c.homes[0] = c.homes[1] = nullptr;
        for (auto* s : order_) {
            if (s->quarantined || !serves(*s)) continue;
            const double drawn = draw(c.key, s->id);
            const bool first = drawn > highest[0];
            if (!first && drawn <= highest[1]) continue;
            if (first) highest[1] = highest[0], c.homes[1] = c.homes[0];
            highest[!first] = drawn, c.homes[!first] = s;
        }
    }
    // Guards against slowness that few own calls in flight don't show: a half more than the mean, two shots
    // of it added, counts as calls of others there, but for a quarter. Less is mostly chance, for turns only.
    double hidden(Server& s, const Call& c) const {
        const double over = slowness(s, 2 * c.product->took);
        return over > 0.5 ? over - 0.25 : 0;
    }
    double busyness(Server& s, const Call& c, double warm) {
        double cost = s.load() / (relative_size(s) * warm);
        cost += desk_.set.known_slots ? others(s) / relative_size(s) : hidden(s, c);
        if (&s == c.homes[0]) cost -= c.pull;
        if (&s == c.homes[1]) cost -= c.pull / 2;
        if (price_of_crossing() > 1) cost += penalty_weight / 2 * side_of(s).risk;
        if (!at_home(s)) cost += price_of_crossing();
        for (const auto& shot : c.shots)
            if (shot.server == &s) cost += penalty_weight;   // a further shot goes elsewhere
        return cost;
    }

    // A member quarantined again and again, unlike the rest, is replaced, one in six intervals at most.
    void replace() {
        if (replacement_ || desk_.now < next_replacement_) return;
        std::vector<double> offences;
        for (auto* s : members_) offences.push_back(s->offences);
        const double usual = median(offences, 0);
        for (auto* s : members_) {
            if (s->offences < 3 || s->offences < 2 * usual + 1) continue;
            const auto it = std::find_if(order_.begin(), order_.end(), [](auto* o) { return !o->member; });
            if (it == order_.end()) return;
            next_replacement_ = desk_.now + interval * 6;
            replacement_ = *it;
            replaced_ = s;
            probe(*replacement_);
            return;
        }
    }
    void settle_trial(Server& s) {
        if (&s != replacement_) return;
        replacement_ = nullptr;
        if (s.member || !serves(s) || !replaced_->member) return;
        desk_.out.log("often quarantined, replaced:", replaced_->id);
        join(s);
        leave(*replaced_);
    }

    Desk& desk_;
    std::unordered_map<ServerId, std::unique_ptr<Server>> known_;   // looked up only, never walked
    std::vector<Server*> listed_, order_, members_;
    size_t target_ = first_size;
    int in_flight_ = 0, peak_ = 0, asked_again_ = 0, placed_ = 0;
    double size_sum_ = 0, median_share_ = 0, turn_ = 0;
    bool wide_ = false;           // over half the pool is penalised
    const bool cutting_;          // calls are called off just before their SLO
    double usual_work_ = 0;       // told lately, in seconds
    enum { waited, foretold };
    SlidingWindow<2> paced_{most_silence * 2};   // what answers took, and the work told of them
    std::vector<Kind> tenants_, products_;
    Kind all_{penalty};
    std::vector<SlidingWindow<2>> tail_;   // by product: calls, and those that missed the SLO
    Span least_slo_ = interval;   // the queue is shared, so the tightest SLO sets its length for all
    ProductTable table_{desk_.set.products};
    Time started_;
    std::map<uint16_t, Zone> sides_;   // by zone
    Time last_heard_ = long_ago, restarted_ = long_ago, next_replacement_ = long_ago;
    Server *replacement_ = nullptr, *replaced_ = nullptr;
};

// Fairness: what a tenant sends beyond its allowance is worth little, so it is turned away first.
class Shares : public Stage {
public:
    explicit Shares(Desk& desk) : desk_(desk), taken_(desk.set.allowances.size(), SlidingWindow<1>(interval)) {}
    Step there(Call& c) override {
        c.worth = c.product->value;
        if (c.tenant >= taken_.size()) return Step::pass;
        auto& taken = taken_[c.tenant];
        taken.add(desk_.now, 0);
        const double allowed = desk_.set.allowances[c.tenant] / desk_.set.balancers * interval.s;
        if (taken.total(desk_.now, 0) > allowed) c.worth *= desk_.set.surplus_value;
        return Step::pass;
    }

private:
    Desk& desk_;
    std::vector<SlidingWindow<1>> taken_;
};

// Further shots, elsewhere, after a failure or a cancel. How many are made follows how many of the recent
// ones were fulfilled in time, so in wide trouble they dry up instead of adding to it.
class Further : public Stage {
public:
    Further(Desk& desk, Chain& chain, Fleet& fleet)
        : desk_(desk), chain_(chain), fleet_(fleet), recent_(interval) {}
    Step there(Call&) override {
        recent_.add(desk_.now, calls);
        return Step::pass;
    }
    // Guards against servers that stand still for a moment, or hold one call up: a copy of an overdue call
    // goes elsewhere, where allowed and of use. Copies dry up where they seldom come first, as in a queue.
    void later(Call& c) {
        if (c.ended || c.shots.size() != 1 || !c.out() || !idempotent(c) || c.streaming) return;
        if (!fleet_.cuts(c) || !desk_.set.duplicates || desk_.set.max_attempts < 2) return;
        const bool overdue = desk_.now - c.shots[0].sent + hair >= fleet_.overdue(c);
        if (!overdue || desk_.now + Span{c.product->quick} >= useful_until(c)) return;
        const double n = recent_.total(desk_.now, copies);
        const double first = (recent_.total(desk_.now, ahead) + 2) / (n + 2);
        if (n >= 2 + recent_.total(desk_.now, calls) * (first - 0.5)) return;
        if (chain_.there(c, this) == Step::keep) recent_.add(desk_.now, copies);
    }
    Step back(Call& c, Shot& shot) override {
        if (shot.number > 0 && shot.outcome == Outcome::fulfilled && desk_.now <= c.arrived + c.product->slo)
            recent_.add(desk_.now, c.out() ? ahead : won);
        if (c.out()) return Step::keep;
        if (c.ended || shot.outcome == Outcome::fulfilled || !worthwhile(c)) return Step::pass;
        recent_.add(desk_.now, made);
        return chain_.there(c, this);
    }

private:
    enum { calls, made, won, copies, ahead, lanes };
    bool worthwhile(const Call& c) {
        const auto reached = [](const Shot& s) {
            return s.outcome != Outcome::connect_failed && s.outcome != Outcome::never_sent;
        };
        const int most = c.product->attempts ? c.product->attempts : desk_.set.max_attempts;
        if (std::count_if(c.shots.begin(), c.shots.end(), reached) >= most) return false;
        const bool limited = static_cast<int>(c.shots.size()) >= desk_.set.max_attempts;
        if (limited || !desk_.out.may_repeat(c.id)) return false;
        // Guards against calls that bring down whatever takes them: what broke off at two servers is not sent
        // to a third, nor what broke off at all while the list shows servers starting anew.
        const auto broke_off = [](const Shot& s) { return s.outcome == Outcome::reset; };
        if (std::count_if(c.shots.begin(), c.shots.end(), broke_off) > !fleet_.restarting()) return false;
        if (desk_.now + Span{c.product->took} >= useful_until(c)) return false;
        const double success = (recent_.total(desk_.now, won) + 2) / (recent_.total(desk_.now, made) + 2);
        return recent_.total(desk_.now, made) < 2 + recent_.total(desk_.now, calls) * success / 2;
    }
    Desk& desk_;
    Chain& chain_;
    Fleet& fleet_;
    SlidingWindow<lanes> recent_;
};

// Sends to the member chosen, and watches for silence.
class Send : public Stage {
public:
    Send(Desk& desk, Fleet& fleet) : desk_(desk), fleet_(fleet) {}
    Step there(Call& c) override {
        Server* server = c.shots.empty() && fleet_.hopeless(c) ? nullptr : fleet_.choose(c);
        if (!server) return Step::end;
        Shot shot;
        shot.call = &c;
        shot.server = server;
        shot.sent = desk_.now;
        shot.number = static_cast<int>(c.shots.size());
        c.shots.push_back(shot);
        desk_.out.send(c.id, server->id, c.give_up - desk_.now);
        desk_.out.set_timer(fleet_.silence(c), c.id);
        const Span left = c.arrived + fleet_.last_use(c) - desk_.now;   // a repeat has less
        if (shot.number == 0 && desk_.set.tail && left > Span{}) desk_.out.set_timer(left, c.id);
        if (desk_.set.duplicates && shot.number == 0) desk_.out.set_timer(fleet_.overdue(c), c.id);
        ++server->named;
        fleet_.sent(c.shots.back());
        return Step::keep;
    }
    Step back(Call&, Shot& shot) override {
        fleet_.ended(shot);
        return Step::pass;
    }
    Step later(Call& c) {   // woken for it
        for (const auto& shot : c.shots)
            if (shot.out && desk_.now - shot.sent + hair >= fleet_.silence(c)) fleet_.heard_nothing(shot);
        const bool in_time = desk_.now - c.arrived + hair < fleet_.last_use(c);
        return c.ended || c.streaming || !c.out() || in_time || !fleet_.gives_up(c) ? Step::keep : Step::end;
    }

private:
    Desk& desk_;
    Fleet& fleet_;
};

class Decisions : public Balancer {
public:
    Decisions(Time now, Settings settings, uint64_t seed, Actions& out)
        : desk_{std::move(settings), out, Pcg(seed), now}, fleet_(desk_), shares_(desk_),
          further_(desk_, chain_, fleet_), send_(desk_, fleet_), next_resize_(now + interval) {
        chain_.add(shares_);
        chain_.add(further_);
        chain_.add(send_);
        out.set_timer(tick, tick_cookie);
        if (!desk_.set.pushed) out.watch_list();
    }

    void list_began(Time now, bool whole, bool cached) override { at(now).list_began(whole, cached); }
    void server_listed(ServerId id, uint16_t zone, uint16_t cell, State state, double size, Time launched) override {
        fleet_.server_listed(id, zone, cell, state, size, launched);
    }
    void list_ended() override { fleet_.list_ended(); }
    void list_failed(Time now) override { at(now).list_failed(); }

    void call_arrived(Time now, CallId id, uint32_t product, uint32_t tenant, Span patience,
                      Span work, uint64_t key, bool again, double pull) override {
        desk_.now = now;
        if (product >= desk_.set.products.size()) throw std::runtime_error("unknown product");
        auto [it, fresh] = calls_.try_emplace(id);
        if (!fresh) return;
        Call& c = it->second;
        c.id = id;
        c.product = &desk_.set.products[product];
        ++c.product->calls;
        c.tenant = tenant;
        c.work = work;
        c.key = desk_.set.warm_keys || pull > 0 ? key : 0;
        c.pull = pull;
        c.give_up = now + patience;
        c.arrived = again ? fleet_.first_came(*c.product, c.give_up) : now;
        if (!again) c.product->patience = std::max(c.product->patience, patience);
        c.shots.reserve(desk_.set.max_attempts);
        fleet_.weigh(c);
        if (patience <= Span{} || chain_.there(c) == Step::end) answer(c);
        forget_if_over(c);
    }
    void client_left(Time now, CallId id) override {
        auto* c = find(now, id);
        if (!c) return;
        over(*c);
        forget_if_over(*c);
    }
    bool may_start(Time now, CallId id, int shot) override {
        auto* c = find(now, id);
        return c && c->out(shot) && !c->ended && fleet_.may_start(*c->out(shot));
    }
    void stream_began(Time now, CallId id, int shot) override {
        auto* c = find(now, id);
        if (!c || !c->out(shot)) return;
        c->streaming = true;
        if (desk_.set.known_slots) c->weight = std::min(c->weight, begun_weight);
        call_off(*c, shot);   // a stream belongs to the client: its twin is of no use
    }
    void attempt_ended(Time now, CallId id, int number, Outcome outcome, bool call_done) override {
        auto* c = find(now, id);
        if (!c || !c->out(number)) return;
        Shot& shot = *c->out(number);
        shot.out = false;
        shot.outcome = outcome;
        if (call_done) c->ended = true;
        if (chain_.back(*c, shot) == Step::end && !c->ended) answer(*c);
        if (call_done) over(*c);
        forget_if_over(*c);
    }
    void probe_ended(Time now, ServerId id, bool reply) override {
        if (auto* s = at(now).find(id)) fleet_.probe_ended(*s, reply);
    }
    void timer_fired(Time now, uint64_t cookie) override {
        desk_.now = now;
        if (cookie == list_cookie) return desk_.out.watch_list();
        if (auto* c = find(now, cookie))
            return send_.later(*c) == Step::end ? answer(*c) : further_.later(*c);
        if (cookie != tick_cookie) return;
        fleet_.look();
        if (now >= next_resize_) {
            next_resize_ = now + interval;
            fleet_.resize();
        }
        desk_.out.set_timer(tick, tick_cookie);
    }

    void position_changed(int me, int balancers) override {
        desk_.set.me = me;
        desk_.set.balancers = std::max(1, balancers);
    }
    uint32_t define_product(const Product& product) override { return fleet_.define_product(product); }
    const Product* product_of(CallId id) const override {
        const auto it = calls_.find(id);
        return it == calls_.end() ? nullptr : it->second.product;
    }
    void data_received(Time now, ServerId id) override { at(now).data_received(id); }
    void load_reported(Time now, ServerId id, double held) override { at(now).load_reported(id, held); }

private:
    Fleet& at(Time now) { return desk_.now = now, fleet_; }
    Call* find(Time now, CallId id) {
        desk_.now = now;
        const auto it = calls_.find(id);
        return it == calls_.end() ? nullptr : &it->second;
    }
    // The one final answer, as soon as the call is given up; a client is told to stay away as long as may be.
    void answer(Call& c) {
        const Span stay_away = desk_.set.retry_after ? desk_.set.max_retry_after : Span{};
        if (may_rate_limit(c)) desk_.out.rate_limit(c.id, stay_away);
        else desk_.out.error(c.id);
        over(c);
    }
    void over(Call& c) {
        c.ended = true;
        if (!c.streaming) call_off(c);
    }
    void call_off(Call& c, int but = -1) {
        for (auto& shot : c.shots)
            if (desk_.set.cancel && shot.out && shot.number != but && !std::exchange(shot.called_off, true))
                desk_.out.cancel(c.id, shot.number);
    }
    void forget_if_over(Call& c) {
        if (!c.ended || c.out()) return;
        for (const auto& shot : c.shots) --shot.server->named;
        --c.product->calls;
        calls_.erase(c.id);
    }

    Desk desk_;
    Fleet fleet_;
    Chain chain_;
    Shares shares_;
    Further further_;
    Send send_;
    Time next_resize_;
    std::unordered_map<CallId, Call> calls_;   // looked up only, never walked
};

}  // namespace

std::unique_ptr<Balancer> start_balancer(Time now, Settings settings, uint64_t seed, Actions& actions) {
    return std::make_unique<Decisions>(now, std::move(settings), seed, actions);
}

}  // namespace myrtleroute
