// The load balancer's decisions: which server each attempt of a call goes to, and what follows a failure.
// logic.hpp has the events, docs/design.md the algorithm. Below: Context (shared state), ServerPool (list,
// pool, selection, health), the stages that each call passes, and DecisionEngine, which feeds them.
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

// Constants of the algorithm. Values from the settings are used directly where they are needed.
constexpr Span interval{10};                       // between resizes of the pool
constexpr Span tick_period = interval * (1.0 / 40);   // between updates of medians, limits and quarantines
constexpr Span penalty{5};                         // how long a failure counts against a server
constexpr double penalty_weight = 25;              // cost of a penalty, in calls; also the most per member
constexpr Span timer_slack{1e-6};                  // a timer may fire this much early because of rounding
constexpr Span max_silence{1};                     // upper bound of the silence timeout, see below
constexpr double outlier_margin = 0.1;             // failure ratio above the median's that makes an outlier
constexpr double max_wait_share = 0.55;            // of the SLO that a call may spend in a server's queue
constexpr size_t initial_size = 10, min_pool_size = 4, max_pool_size = 200;
constexpr Span load_report_lifetime{2};            // over which a server's load report loses its weight
constexpr double streaming_weight = 0.3;           // of a call whose response has begun, with known_slots
constexpr double overload_factor = 1.25;           // calls that a server may hold per slot, with known_slots
constexpr int calls_per_member = 6;                // in an interval; with more, the pool grows
constexpr uint64_t tick_cookie = 1ULL << 60, list_cookie = tick_cookie + 1;   // call ids are smaller

struct Context {   // shared by all parts
    Settings conf;
    Actions& actions;
    Pcg rng;
    Time now;
};

// Deterministic hash of key and server to [0, 1), the same at every proxy (rendezvous hashing).
double draw(uint64_t key, uint64_t server) {
    Pcg mixed(key * 0x9e3779b97f4a7c15ULL ^ server);
    mixed.next();
    return mixed.uniform();
}

bool idempotent(const Call& c) { return c.product->repeat == Idempotency::idempotent; }

// Latest time at which an answer still has a value; no attempt is started that would end later.
Time useful_until(const Call& c) {
    return c.product->late_value > 0 ? c.deadline : std::min(c.deadline, c.arrived + c.product->slo);
}

bool same_scope(const Product& p, const Server& a, const Server& b) {
    return p.scope == DedupScope::all || (p.scope == DedupScope::zone ? a.zone == b.zone : a.cell == b.cell);
}

// Prevents repeated execution: whether a new attempt, or the existing one `that`, may go to this server now.
bool may_send(const Call& c, const Server& s, Time now, const Attempt* that = nullptr) {
    for (const auto& other : c.attempts) {
        if (&other == that || idempotent(c) || !other.may_have_run()) continue;
        if (c.product->repeat == Idempotency::non_idempotent) return false;
        if (!same_scope(*c.product, *other.server, s) || now - other.sent >= c.product->window) return false;
    }
    return true;
}

// A rate-limit response tells the client that it can retry safely, so no attempt may have run.
bool may_rate_limit(const Call& c) {
    if (idempotent(c)) return true;
    if (c.product->repeat == Idempotency::deduplicated && c.product->scope == DedupScope::all) return true;
    return std::ranges::none_of(c.attempts, [](const Attempt& a) { return a.may_have_run(); });
}

class ServerPool {   // all listed servers, and the members that this proxy prefers to send to
public:
    explicit ServerPool(Context& ctx)
        : ctx_(ctx), cuts_late_(ctx.conf.slo_penalty && ctx.conf.cancel), started_(ctx.now) {
        by_product_.assign(ctx.conf.products.size(), SlidingWindow<2>(penalty));
        products_.assign(ctx.conf.products.size(), LatenessStats(penalty));
        tenants_.assign(ctx.conf.allowances.size() + 1, LatenessStats(penalty));
        min_slo_ = table_.min_slo(interval);
    }
    uint32_t define_product(const Product& product) {
        const auto [number, fresh] = table_.upsert(product);
        if (!fresh) return static_cast<uint32_t>(number);
        by_product_.resize(table_.size(), SlidingWindow<2>(penalty));
        by_product_[number] = SlidingWindow<2>(penalty);
        products_.resize(table_.size(), LatenessStats(penalty));
        products_[number] = LatenessStats(penalty);
        for (auto& [id, s] : known_) {
            s->full_until.resize(table_.size(), long_ago);
            s->full_until[number] = long_ago;
        }
        min_slo_ = table_.min_slo(interval);
        return static_cast<uint32_t>(number);
    }
    void data_received(ServerId id) {
        if (auto* s = find(id)) s->last_data = last_data_ = ctx_.now;
    }
    void load_reported(ServerId id, double held) {
        auto* s = find(id);
        if (!s) return;
        s->others_load = std::max(0.0, held - s->load());
        s->reported_at = ctx_.now;
    }
    Server* find(ServerId id) {
        const auto it = known_.find(id);
        return it == known_.end() ? nullptr : it->second.get();
    }

    void list_began(bool whole, bool cached) {
        if (!cached) list_retries_ = 0;
        if (whole)
            for (auto* s : listed_)
                if (std::exchange(s->state, State::gone) != State::gone) s->last_seen = ctx_.now;
    }
    void server_listed(ServerId id, uint16_t zone, uint16_t cell, State state, double size, Time launched) {
        auto& s = known_[id];
        if (s && launched > s->launched && !s->drained) last_restart_ = ctx_.now;
        if (!s) {
            s = std::make_unique<Server>(penalty);
            s->full_until.assign(ctx_.conf.products.size(), long_ago);
            s->id = id;
            listed_.push_back(s.get());
        }
        s->zone = zone;
        s->cell = cell;
        if (state != State::gone || s->state != State::gone) s->last_seen = ctx_.now;
        s->state = state;
        const bool restarted = state == State::ready && launched > s->launched;
        s->drained = (s->drained && !restarted) || state == State::draining;
        if (size <= 0) size = 1;
        // A live weight equals the capacity only while the server is idle, so the maximum is kept.
        s->capacity = ctx_.conf.live_weights && s->launched >= launched ? std::max(s->capacity, size) : size;
        if (launched <= s->launched) return;
        s->launched = launched;
        s->credit = ctx_.rng.uniform();   // random, so that proxies don't send to it at the same time
    }
    void list_ended() {
        std::sort(listed_.begin(), listed_.end(), [](auto* a, auto* b) { return a->id < b->id; });
        order_servers();
        update_members();
    }
    // Retries with exponential backoff and jitter, but soon enough to learn of drains in time.
    void list_failed() {
        const Span most = std::min(ctx_.conf.ask_within, max_list_delay);
        const Span wait = most * (std::min(16, 1 << list_retries_) / 40.0);
        list_retries_ = std::min(4, list_retries_ + 1);
        ctx_.actions.set_timer(wait * (0.5 + ctx_.rng.uniform() / 2), list_cookie);
    }

    // Pool of members: the first servers of order_, so that each proxy has a stable subset of its own.
    void note_in_flight(int delta) {
        in_flight_ += delta;
        peak_ = std::max(peak_, in_flight_);
        // Grows at once, as a burst ends before the interval does; shrinking waits for it. Guards against a
        // proxy with many short calls, hardly any in flight at a time, overloading a few servers.
        if (wanted_size(in_flight_) <= members_.size() || members_.size() >= order_.size()) return;
        target_size_ = wanted_size(in_flight_);
        update_members();
    }
    size_t wanted_size(int in_flight) const {
        return static_cast<size_t>(std::max(in_flight, calls_sent_ / calls_per_member));
    }
    double fair_share() const { return 3.0 * order_.size() / ctx_.conf.balancers; }
    // Twice the fair share, but a third of the servers at most, so that the pools of small fleets differ.
    size_t min_size() const {
        const double wide = std::min(2 * fair_share(), order_.size() / 3.0);
        return std::max(min_pool_size, static_cast<size_t>(std::ceil(std::max(fair_share(), wide))));
    }
    void resize() {
        const auto size = std::clamp(wanted_size(peak_), min_size(), max_pool_size);
        target_size_ = size < target_size_ ? std::max(size, target_size_ - 2) : size;   // shrinks slowly
        peak_ = in_flight_, calls_sent_ = 0;
        order_servers();
        update_members();
    }

    // Selects the member with the least load per capacity, ties at random; else a penalised one, else any
    // listed server. Guards against overloading the few left: with over half penalised, no penalty counts.
    Server* select(Call& c) {
        find_preferred(c);
        const auto blamed = [this](auto* s) { return ctx_.now < s->penalty_until; };
        most_penalised_ = 2 * std::count_if(members_.begin(), members_.end(), blamed) > std::ssize(members_);
        const double part = max_wait_share * relative_value(c), all = min_slo_.s * part;
        const double wait = all - (ctx_.now - c.arrived).s * part;
        for (auto& [id, zone] : zones_) {
            zone.risk = zone.lateness.total(ctx_.now, risks) / (zone.lateness.total(ctx_.now, samples) + 2);
            const double n = zone.recent.total(ctx_.now, attempt_count) + 2;
            // Where late calls are cut off, the slack for bursts is full up to 0.5 SLO latency, 0 above 0.6.
            const double most = cuts_late_ ? min_slo_.s * 0.6 : all, steep = cuts_late_ ? 6 : 1;
            const double taken = zone.recent.total(ctx_.now, attempt_s) / n / most;
            const double calm = std::clamp(steep * (1 - taken), 0.0, 1.0);
            zone.limit = zone.response_rate * wait;
            const double answered = zone.recent.total(ctx_.now, response_count) + 2;
            zone.stuck_weight =
                std::clamp(2 * zone.recent.total(ctx_.now, response_s) / answered / most - 1, 0.0, 1.0);
            if (wait > 0)
                zone.limit += 3 * calm * std::sqrt((zone.limit + cuts_late_) / std::max(1.0, fair_share()));
            zone.min_limit = zone.queued = zone.queued_all = zone.capacity = 0;
        }
        for (auto* s : members_) {
            auto& zone = zone_of(*s);
            zone.min_limit += std::max(1.0, fair_share()) / members_.size();
            // Guards against calls stuck in an unreachable zone counting as a queue at reachable servers:
            // those at silent or excluded servers count less, the faster the other servers answer.
            const bool off = s->quarantined || penalised(*s, c);
            if (!off) zone.capacity += warm_capacity(*s);
            zone.queued_all += queue_length(*s);
            zone.queued += queue_length(*s) * (off || is_silent(*s) ? zone.stuck_weight : 1);
        }
        bool at_limit = false;
        for (const auto* among : {&members_, &order_})
            for (const bool last : {false, true})
                if (auto* best = pick_best(*among, c, last, at_limit); best || at_limit) return best;
        return nullptr;
    }

    // Weighs a call by its declared work. Guards against light calls being queued behind a heavy one.
    void set_weight(Call& c) {
        if (c.work <= Span{}) return;
        mean_work_ += (c.work.s - mean_work_) / (mean_work_ > 0 ? 2 * penalty_weight : 1);
        c.weight = std::clamp(c.work.s / mean_work_, 0.1, 10.0);
    }
    // Seconds of recent latency for each second of declared work; 0 if no work was declared.
    double seconds_per_work() {
        const double declared = work_latency_.total(ctx_.now, declared_s);
        return declared > 0 ? work_latency_.total(ctx_.now, actual_s) / declared : 0;
    }
    // Guards against a tenant's or product's calls that are slow at every server and hold up all others: if
    // three quarters of them miss their SLO and most others don't, one per penalty time is admitted.
    bool slows_others(const Call& c) {
        for (auto* stats : lateness_of(c)) {
            const double n = stats->count(ctx_.now, seen), bad = stats->count(ctx_.now, missed);
            const double others = all_calls_.count(ctx_.now, seen) - n;
            const double worse = all_calls_.count(ctx_.now, missed) - bad;
            const bool alone = n >= 6 && others >= 4 && 4 * bad >= 3 * n && 2 * worse <= others;
            if (alone && ctx_.now < stats->last_admitted + penalty) return true;
        }
        for (auto* stats : lateness_of(c)) stats->last_admitted = ctx_.now;
        return false;
    }
    // When the original call of a client's retry arrived, if the retry's timeout is what was left of its own.
    Time first_arrival(const Product& p, Time end) const {
        return end - ctx_.now < p.max_timeout * 0.98 ? std::min(ctx_.now, end - p.client_timeout) : ctx_.now;
    }
    // Whether one more call of the product may be late at no cost; calls rate-limited in time don't count.
    bool may_be_late(const Call& c) {
        auto& recent = by_product_[index_of(c)];
        return recent.total(ctx_.now, missed) + 1 <= ctx_.conf.allowed_late * recent.total(ctx_.now, seen);
    }
    // Guards against calls that can only be late, where that costs more than a rejection, delaying others. As
    // many as may be late at no cost are admitted: a late answer still has some value.
    bool rejected_early(const Call& c) {
        if (!ctx_.conf.slo_penalty) return false;
        auto& recent = by_product_[index_of(c)];
        recent.add(ctx_.now, seen);
        if (may_cut_off(c) && (ctx_.now > c.arrived + cutoff(c) || slows_others(c))) return true;
        const Span expected = c.work * seconds_per_work();
        if (expected <= Span{} || ctx_.now + expected <= c.arrived + c.product->slo) return false;
        if (!may_be_late(c)) return true;
        recent.add(ctx_.now, missed);
        return false;
    }

    void attempt_sent(Attempt& attempt) {
        const auto& zone = zone_of(*attempt.server);
        const bool in_stuck_room = zone.queued_all >= std::max(zone.min_limit, zone.limit) &&
                                   warm_share(*attempt.server) >= 1;
        for (auto* s : members_) earn_credit(*s, in_stuck_room);
        attempt.server->open.push_back(&attempt);
        round_ = std::max(round_, attempt.server->next_turn);
        ++calls_sent_;
        note_in_flight(+1);
    }

    void attempt_ended(Attempt& attempt) {
        Server& s = *attempt.server;
        Product& p = *attempt.call->product;
        Zone& zone = zone_of(s);
        s.open.erase(std::find(s.open.begin(), s.open.end(), &attempt));
        schedule_turn(s);
        // Counts as load until an attempt sent later is answered: the server usually still queues or runs it.
        const bool given_up = attempt.outcome == Outcome::timed_out || attempt.outcome == Outcome::cancelled;
        const bool beaten = given_up && attempt.call->succeeded();   // by the call's other attempt
        const bool holds = given_up && !beaten && attempt.sent >= s.answered_sent;
        if (holds) s.abandoned.push_back({attempt.sent, attempt.call->weight});
        else note_in_flight(-1);
        const double took = (ctx_.now - attempt.sent).s;
        const bool fulfilled = attempt.outcome == Outcome::fulfilled;
        if (!beaten && (given_up || fulfilled)) {
            const bool late = given_up || ctx_.now > attempt.call->arrived + p.slo;
            if (late && !(given_up && attempt.call->ended)) by_product_[p.number].add(ctx_.now, missed);
            all_calls_.add(ctx_.now, late);
            for (auto* stats : lateness_of(*attempt.call)) stats->add(ctx_.now, late);
        }
        if (given_up || fulfilled) {
            zone.recent.add(ctx_.now, attempt_count);
            zone.recent.add(ctx_.now, attempt_s, std::min(took, min_slo_.s));   // bounded: one may hang
            zone.lateness.add(ctx_.now, samples);
            zone.lateness.add(ctx_.now, risks, std::min(1.0, std::pow(took / p.slo.s, 4)));
        }
        if (p.latency > 0 && (given_up || fulfilled)) {
            s.stats.add(ctx_.now, spent_s, took);
            const double est = attempt.call->work.s * seconds_per_work(), usual = est > 0 ? est : p.latency;
            s.stats.add(ctx_.now, expected_s, usual / relative_capacity(s) / warm_share(s));
        }
        switch (attempt.outcome) {
            case Outcome::fulfilled:
                record_response(s);
                s.last_seen = ctx_.now;
                s.answered_sent = std::max(s.answered_sent, attempt.sent);
                drop_abandoned(s, attempt.sent);
                zone.recent.add(ctx_.now, response_count);
                zone.recent.add(ctx_.now, response_s, took);
                if (attempt.call->work > Span{}) {
                    work_latency_.add(ctx_.now, actual_s, took);
                    work_latency_.add(ctx_.now, declared_s, attempt.call->work.s);
                }
                p.p20_latency =
                    p.p20_latency > 0 ? p.p20_latency * (1 + 0.05 * (0.2 - (took < p.p20_latency))) : took;
                p.latency =
                    p.latency > 0 ? p.latency + (std::min(took, p.slo.s) - p.latency) / penalty_weight : took;
                s.stats.add(ctx_.now, answered);
                s.stats.add(ctx_.now, answered_s, took);
                return;
            case Outcome::errored: record_response(s); [[fallthrough]];
            case Outcome::reset: return record_failure(s, is_outlier(s));
            case Outcome::full:
                // Guards against servers that reject one product only counting as over half of the pool.
                s.full_until[index_of(*attempt.call)] = ctx_.now + penalty;
                record_response(s);
                return record_failure(s, s.stats.total(ctx_.now, answered) == 0);
            case Outcome::connect_failed:
                drop_abandoned(s, ctx_.now);
                if (s.state == State::gone) s.absent_until = ctx_.now + interval;
                return record_failure(s);
            case Outcome::timed_out:
                // A server that answered others meanwhile is responsive: the call itself may be heavy.
                return record_failure(s, s.last_data < attempt.sent || is_outlier(s));
            case Outcome::cancelled: case Outcome::never_sent: return;
        }
    }

    // Guards against a drain, or the end of the dedup window, while the attempt's connection was set up.
    bool may_start(const Attempt& attempt) const {
        return serves(*attempt.server) && may_send(*attempt.call, *attempt.server, ctx_.now, &attempt);
    }
    bool restarting() const { return ctx_.now < last_restart_ + interval * 2; }

    void drop_abandoned(Server& s, Time sent_by) {
        const auto dropped = std::erase_if(s.abandoned, [&](const auto& a) { return a.sent <= sent_by; });
        note_in_flight(-static_cast<int>(dropped));
    }

    // How long an attempt waits, with no data at all from its server while others answer, before a probe.
    Span silence_timeout(const Call& c) const {
        return std::min(max_silence, std::max((c.deadline - c.arrived) * 0.5, c.product->slo));
    }
    // Guards against late answers that cost more than a rejection: calls are cut off just before their SLO.
    bool may_cut_off(const Call& c) const { return cuts_late_ && may_rate_limit(c); }
    bool gives_up(const Call& c) { return may_cut_off(c) && !(c.product->late_value > 0 && may_be_late(c)); }
    Span cutoff(const Call& c) const { return c.product->slo * 0.95; }
    Span hedge_delay(const Call& c) const { return {3 * c.product->p20_latency * std::max(1.0, c.weight)}; }
    void on_silence(const Attempt& attempt) {
        Server& s = *attempt.server;
        if (s.last_data >= attempt.sent || last_data_ <= attempt.sent || s.quarantined) return;
        return ctx_.conf.probing ? probe(s) : record_failure(s);
    }
    void probe(Server& s) {
        if (s.probe_pending || !ctx_.conf.probing) return;
        s.probe_pending = true;
        ctx_.actions.probe(s.id);
    }
    void probe_ended(Server& s, bool reply) {
        s.probe_pending = false;
        if (reply) {
            if (s.quarantined) ctx_.actions.log("probe answered, back in the pool:", s.id);
            s.quarantined = false;
            s.last_data = ctx_.now;
            finish_replacement(s);
            return;
        }
        if (&s == replacement_) replacement_ = nullptr;   // the member to be replaced stays
        if (s.quarantined || !s.member || !serves(s)) return;
        // Widespread trouble is not the fault of single members: at most half of the pool is quarantined.
        size_t out = 1;
        for (auto* m : members_) out += m->quarantined;
        if (2 * out > members_.size()) return;
        s.quarantined = true;
        ++s.quarantines;
        ctx_.actions.log("no answer and no probe reply, quarantined:", s.id);
        if (!ctx_.conf.cancel) return;
        for (auto* attempt : s.open)
            if (idempotent(*attempt->call) && !attempt->call->streaming && !attempt->cancel_sent) {
                attempt->cancel_sent = true;   // it is retried once the outcome of the cancel is known
                ctx_.actions.cancel(attempt->call->id, attempt->number);
            }
    }

    // Runs every tick: updates rates and the median, probes quarantined members, replaces unstable ones.
    void run_checks() {
        const Span seen = std::min(ctx_.now - started_, max_silence * 2);
        for (auto& [id, zone] : zones_)
            zone.response_rate =
                std::max(zone.response_rate * 0.95, zone.recent.total(ctx_.now, response_count) / seen.s);
        std::vector<double> shares;
        for (auto* s : members_) {
            const double n = s->stats.total(ctx_.now, answered), bad = s->stats.total(ctx_.now, failed);
            if (n + bad > 0) shares.push_back(bad / (n + bad));
        }
        median_share_ = median(shares, 0);
        for (auto* s : listed_) {
            drop_abandoned(*s, ctx_.now - (cuts_late_ ? min_slo_ : penalty));
            if (!s->member || !s->quarantined || ctx_.now < s->next_probe) continue;
            s->next_probe = ctx_.now + max_silence;
            probe(*s);
        }
        replace_unstable();
        forget_gone();
        admit_one();
    }

private:
    // With drain_binds_alone a server listed as gone is excluded for an interval after a failed connect only;
    // one listed as draining stays excluded. Guards against lists that are truncated, empty or stale.
    bool serves(const Server& s) const {
        if (!ctx_.conf.drain_binds_alone) return s.state == State::ready;
        if (s.drained || s.state == State::ready) return !s.drained;
        return ctx_.now >= s.absent_until && ctx_.now < s.last_seen + gone_server_retention;
    }
    // Guards against unbounded memory use where new machines keep arriving under new ids.
    void forget_gone() {
        const auto forgotten = std::erase_if(listed_, [this](auto* s) {
            const bool used = s->references || s->probe_pending || (replacement_ && s == replaced_);
            const bool kept = ctx_.conf.drain_binds_alone && ctx_.now < s->last_seen + gone_server_retention;
            if (s->state != State::gone || used || kept) return false;
            drop_abandoned(*s, ctx_.now);
            if (s->member) leave(*s);   // excluded by its age alone, not by a list
            std::erase(order_, s);
            return known_.erase(s->id) == 1;
        });
        if (forgotten > 0) update_members();
    }
    void record_response(Server& s) { s.last_response = s.last_data = last_data_ = ctx_.now; }
    void record_failure(Server& s, bool penalise = true) {
        s.stats.add(ctx_.now, failed);
        if (penalise) s.penalty_until = ctx_.now + penalty;
    }
    // Guards against stray errors and resets taking healthy servers out of use: a server is penalised only if
    // its failure ratio, this failure included, is well above the median of the pool.
    bool is_outlier(Server& s) const {
        const double bad = s.stats.total(ctx_.now, failed) + 1;
        return bad / (bad + s.stats.total(ctx_.now, answered)) > median_share_ + outlier_margin;
    }

    // Orders the servers for the pool: by id, from an offset of this proxy's own. Where crossing zones is
    // expensive, every third is of other zones in turn, the one with the least risk of lateness first. Guards
    // against a zone that is overloaded while the next one is idle.
    void order_servers() {
        std::map<std::pair<double, uint16_t>, std::vector<Server*>> zones;   // remote ones by risk
        for (auto* s : listed_)
            if (serves(*s))
                zones[{is_remote(*s) ? 1 + zone_of(*s).risk : 0, is_remote(*s) ? s->zone : 0}].push_back(s);
        const size_t others = zones.size() - zones.count({0, 0});
        std::multimap<size_t, Server*> places;
        for (size_t other = 0; auto& [zone, part] : zones) {
            const size_t from = ctx_.conf.index % ctx_.conf.balancers * part.size() / ctx_.conf.balancers;
            for (size_t i = 0; i < part.size(); ++i)
                places.emplace(zone.first > 0 ? 3 * (i * others + other) + 2 : i / 2 * 3 + i % 2,
                               part[(from + i) % part.size()]);
            other += zone.first > 0;
        }
        order_.clear();
        for (auto& [place, s] : places) order_.push_back(s);
    }
    void update_members() {
        std::erase_if(members_, [this](auto* s) { return !(s->member = s->member && serves(*s)); });
        const size_t size = std::min(std::max(target_size_, min_size()), order_.size());
        for (auto* s : order_)
            if (members_.size() < size && !s->member) join(*s);
        for (auto it = order_.rbegin(); it != order_.rend() && members_.size() > size; ++it)
            if ((*it)->member) leave(**it);
        capacity_sum_ = 0;
        for (auto* s : members_) capacity_sum_ += s->capacity;
    }
    // Guards against servers that are new, or return, staying idle: one joins at a time, at a random moment.
    void admit_one() {
        const auto to = order_.begin() + static_cast<long>(std::min(members_.size(), order_.size()));
        auto due = std::find_if(order_.begin(), to, [](auto* s) { return !s->member && s->quarantines < 3; });
        if (due == to || replacement_ || ctx_.rng.uniform() * interval.s > 4 * tick_period.s) return;
        join(**due);
        update_members();
    }
    void join(Server& s) {
        s.member = true;
        s.quarantined = false;
        s.quarantines = 0;
        members_.push_back(&s);
    }
    void leave(Server& s) {
        s.member = false;
        members_.erase(std::find(members_.begin(), members_.end(), &s));
        if (s.open.empty()) ctx_.actions.close_idle(s.id);
    }

    double warm_share(const Server& s) const {
        const double age = (ctx_.now - s.launched) / ctx_.conf.warm_after;
        return age >= 1 ? 1 : ctx_.conf.start_capacity + (1 - ctx_.conf.start_capacity) * std::max(0.0, age);
    }
    double relative_capacity(const Server& s) const {
        return s.capacity * std::max<size_t>(1, members_.size()) / std::max(capacity_sum_, s.capacity);
    }
    double warm_capacity(const Server& s) const { return s.capacity * warm_share(s); }
    // Limits calls to a cold server, as hundreds of proxies send to it independently: each call sent anywhere
    // earns it a credit of its warm share times three quarters of tip_multiple. Rejected calls, and calls in
    // the room of stuck ones, earn none. Unused credit expires, else bursts would send many calls at once.
    void earn_credit(Server& s, bool in_stuck_room) const {
        const double warm = warm_share(s);
        if (warm >= 1) return;
        if (s.credit >= 1) s.credit -= 1;
        if (!in_stuck_room) s.credit += warm * s.capacity / std::max(capacity_sum_, s.capacity) *
                                          ctx_.conf.tip_multiple * 0.75;
    }
    // Little's law: a call is answered after about the queue's length over the server's response rate. It
    // goes elsewhere if that leaves too little of its SLO, and is rate-limited if that is so everywhere. This
    // proxy's share, at least one call, is always admitted, so that a rate can be measured. Guards against a
    // few calls that hang or are heavy shutting out all others: one older than the maximum wait and three
    // times the server's recent mean latency no longer counts once a call sent later is answered.
    double queue_length(Server& s) const {
        const double n = std::max(1.0, s.stats.total(ctx_.now, answered));
        const Span mean{s.stats.total(ctx_.now, answered_s) / n};
        const Time by = std::min(s.answered_sent, ctx_.now - std::max(min_slo_ * max_wait_share, mean * 3));
        return s.held() - std::ranges::count_if(s.open, [by](auto* attempt) { return attempt->sent <= by; });
    }
    // Silent to calls, abandoned ones included; a server that hangs may still answer probes.
    bool is_silent(const Server& s) const {
        Time first = s.open.empty() ? ctx_.now : s.open[0]->sent;
        if (!s.abandoned.empty()) first = std::min(first, s.abandoned[0].sent);
        return s.last_response < first && ctx_.now - first > min_slo_ * max_wait_share;
    }
    double others_load(const Server& s) const {
        return s.others_load * std::clamp(1 - (ctx_.now - s.reported_at) / load_report_lifetime, 0.0, 1.0);
    }
    bool below_limit(Server& s) {
        if (ctx_.conf.known_slots) return s.held() + others_load(s) < s.capacity * overload_factor;
        const auto& zone = zone_of(s);
        const double own = zone.limit * warm_capacity(s) / std::max(zone.capacity, warm_capacity(s));
        if (queue_length(s) >= std::max({1.0, fair_share() / members_.size(), own})) return false;
        // Guards against cold servers idle in a release, where warm ones fill the limit; credit bounds them.
        if (warm_share(s) < 1 || ctx_.now < started_ + max_silence) return true;
        return zone.queued < std::max(zone.min_limit, zone.limit);
    }
    bool is_remote(const Server& s) const { return !is_local(s) && crossing_cost() > 1; }   // own limit
    Zone& zone_of(const Server& s) { return zones_[is_remote(s) ? s.zone : ctx_.conf.zone]; }
    bool is_local(const Server& s) const { return s.zone == ctx_.conf.zone; }
    double crossing_cost() const { return ctx_.conf.cross_zone_price * penalty_weight / 2; }   // in calls
    double relative_value(const Call& c) const {
        double best = 0;
        for (const auto& p : ctx_.conf.products)
            if (p.latency > 0) best = std::max(best, p.value / p.latency);
        return best > 0 && c.product->latency > 0 ? 0.6 + 0.4 * c.value / c.product->latency / best : 0.6;
    }

    std::array<LatenessStats*, 2> lateness_of(const Call& c) {
        return {&tenants_[std::min<size_t>(c.tenant, tenants_.size() - 1)], &products_[index_of(c)]};
    }
    size_t index_of(const Call& c) const { return c.product->number; }
    bool penalised(const Server& s, const Call& c) const {
        return ctx_.now < s.full_until[index_of(c)] || (!most_penalised_ && ctx_.now < s.penalty_until);
    }
    double slowdown(Server& s, double more) const {   // recent time beyond the expected, relative to it
        const double usual = s.stats.total(ctx_.now, expected_s), took = s.stats.total(ctx_.now, spent_s);
        return usual > 0 ? std::max(0.0, took - usual) / (usual + more) : 0;
    }
    // Members with equal load take turns in random order: each is due about a round after it was last busy
    // or skipped, and later if its calls are slow, so that a slow one has no missed turns to catch up on.
    void schedule_turn(Server& s) {
        s.next_turn = round_ + (0.5 + ctx_.rng.uniform()) * (1 + 2 * slowdown(s, 0)) / relative_capacity(s);
    }
    Server* pick_best(const std::vector<Server*>& among, const Call& c, bool last, bool& at_limit) {
        Server* best = nullptr;
        std::pair<double, double> least{HUGE_VAL, 0};
        const auto consider = [&](Server* s) {
            if (s->quarantined || !serves(*s) || !may_send(c, *s, ctx_.now)) return;
            if (penalised(*s, c) != last) return;
            const double warm = warm_share(*s);
            if (warm < 1 && s->credit < 1) return;
            if (!below_limit(*s)) {
                at_limit = true;
                return;
            }
            // Idle members tie whatever their capacity; a cold one with credit comes first.
            const bool by_key = c.key && c.affinity <= 0 && s->held() == 0;
            if (s->next_turn < round_) schedule_turn(*s);
            const double turn = by_key ? -std::pow(draw(c.key, s->id), 1 / s->capacity) : s->next_turn;
            const std::pair cost{load_cost(*s, c, warm), warm < 1 ? turn - 1e9 : turn};
            if (cost < least) best = s, least = cost;
        };
        for (auto* s : among) consider(s);
        for (auto* s : c.preferred)
            if (s && &among == &members_ && !s->member) consider(s);
        return best;
    }
    // Servers that hold what the call needs: those with the highest hash; the second is for overflow.
    void find_preferred(Call& c) {
        if (c.affinity <= 0) return;
        double highest[2] = {-1, -1};
        c.preferred[0] = c.preferred[1] = nullptr;
        for (auto* s : order_) {
            if (s->quarantined || !serves(*s)) continue;
            const double drawn = draw(c.key, s->id);
            const bool first = drawn > highest[0];
            if (!first && drawn <= highest[1]) continue;
            if (first) highest[1] = highest[0], c.preferred[1] = c.preferred[0];
            highest[!first] = drawn, c.preferred[!first] = s;
        }
    }
    // Guards against slowness that few own calls in flight don't show: a slowdown over 0.5, two means added
    // to the expected time, counts as load of others, less 0.25. Less is mostly random: for turns only.
    double hidden_load(Server& s, const Call& c) const {
        const double over = slowdown(s, 2 * c.product->latency);
        return over > 0.5 ? over - 0.25 : 0;
    }
    double load_cost(Server& s, const Call& c, double warm) {
        double cost = s.load() / (relative_capacity(s) * warm);
        cost += ctx_.conf.known_slots ? others_load(s) / relative_capacity(s) : hidden_load(s, c);
        if (&s == c.preferred[0]) cost -= c.affinity;
        if (&s == c.preferred[1]) cost -= c.affinity / 2;
        if (crossing_cost() > 1) cost += penalty_weight / 2 * zone_of(s).risk;
        if (!is_local(s)) cost += crossing_cost();
        for (const auto& attempt : c.attempts)
            if (attempt.server == &s) cost += penalty_weight;   // a further attempt goes elsewhere
        return cost;
    }

    // Replaces a member that is quarantined far more often than the others, one in six intervals at most.
    void replace_unstable() {
        if (replacement_ || ctx_.now < next_replacement_) return;
        std::vector<double> quarantines;
        for (auto* s : members_) quarantines.push_back(s->quarantines);
        const double usual = median(quarantines, 0);
        for (auto* s : members_) {
            if (s->quarantines < 3 || s->quarantines < 2 * usual + 1) continue;
            const auto it = std::find_if(order_.begin(), order_.end(), [](auto* o) { return !o->member; });
            if (it == order_.end()) return;
            next_replacement_ = ctx_.now + interval * 6;
            replacement_ = *it;
            replaced_ = s;
            probe(*replacement_);
            return;
        }
    }
    void finish_replacement(Server& s) {
        if (&s != replacement_) return;
        replacement_ = nullptr;
        if (s.member || !serves(s) || !replaced_->member) return;
        ctx_.actions.log("often quarantined, replaced:", replaced_->id);
        join(s);
        leave(*replaced_);
    }

    Context& ctx_;
    std::unordered_map<ServerId, std::unique_ptr<Server>> known_;   // not iterated: unordered
    std::vector<Server*> listed_, order_, members_;
    size_t target_size_ = initial_size;
    int in_flight_ = 0, peak_ = 0, list_retries_ = 0, calls_sent_ = 0;
    double capacity_sum_ = 0, median_share_ = 0, round_ = 0;
    bool most_penalised_ = false; // over half of the pool is penalised
    const bool cuts_late_;        // calls are cut off just before their SLO
    double mean_work_ = 0;        // declared recently, in seconds
    enum { actual_s, declared_s };
    SlidingWindow<2> work_latency_{max_silence * 2};   // latency of answers, and the work declared for them
    std::vector<LatenessStats> tenants_, products_;
    LatenessStats all_calls_{penalty};
    std::vector<SlidingWindow<2>> by_product_;   // calls, and those that missed the SLO
    Span min_slo_ = interval;     // products share the queues, so the tightest SLO limits them for all
    ProductTable table_{ctx_.conf.products};
    Time started_;
    std::map<uint16_t, Zone> zones_;
    Time last_data_ = long_ago, last_restart_ = long_ago, next_replacement_ = long_ago;
    Server *replacement_ = nullptr, *replaced_ = nullptr;
};

// Fairness: lowers the value of calls beyond a tenant's allowance, so that these are rejected first.
class TenantAllowances : public Stage {
public:
    explicit TenantAllowances(Context& ctx)
        : ctx_(ctx), recent_calls_(ctx.conf.allowances.size(), SlidingWindow<1>(interval)) {}
    Step on_call(Call& c) override {
        c.value = c.product->value;
        if (c.tenant >= recent_calls_.size()) return Step::pass;
        auto& recent = recent_calls_[c.tenant];
        recent.add(ctx_.now, 0);
        const double allowed = ctx_.conf.allowances[c.tenant] / ctx_.conf.balancers * interval.s;
        if (recent.total(ctx_.now, 0) > allowed) c.value *= ctx_.conf.surplus_value_factor;
        return Step::pass;
    }

private:
    Context& ctx_;
    std::vector<SlidingWindow<1>> recent_calls_;
};

// Retries at another server after a failure or a cancel, and hedged attempts. Their budget follows how many
// recent ones succeeded in time, so that in a widespread failure they stop instead of adding load.
class Retries : public Stage {
public:
    Retries(Context& ctx, Chain& chain, ServerPool& pool)
        : ctx_(ctx), chain_(chain), pool_(pool), recent_(interval) {}
    Step on_call(Call&) override {
        recent_.add(ctx_.now, calls);
        return Step::pass;
    }
    // Guards against servers that pause for a moment, or hold up single calls: an overdue call gets a hedged
    // attempt elsewhere, where allowed and useful. Hedging stops if it seldom wins, as in an overload.
    void on_timer(Call& c) {
        if (c.ended || c.attempts.size() != 1 || !c.has_open() || !idempotent(c) || c.streaming) return;
        if (!pool_.may_cut_off(c) || !ctx_.conf.hedging || ctx_.conf.max_attempts < 2) return;
        const bool overdue = ctx_.now - c.attempts[0].sent + timer_slack >= pool_.hedge_delay(c);
        if (!overdue || ctx_.now + Span{c.product->p20_latency} >= useful_until(c)) return;
        const double n = recent_.total(ctx_.now, hedges);
        const double first = (recent_.total(ctx_.now, hedges_won) + 2) / (n + 2);
        if (n >= 2 + recent_.total(ctx_.now, calls) * (first - 0.5)) return;
        if (chain_.on_call(c, this) == Step::keep) recent_.add(ctx_.now, hedges);
    }
    Step on_attempt_end(Call& c, Attempt& attempt) override {
        if (attempt.number > 0 && attempt.outcome == Outcome::fulfilled &&
            ctx_.now <= c.arrived + c.product->slo)
            recent_.add(ctx_.now, c.has_open() ? hedges_won : successes);
        if (c.has_open()) return Step::keep;
        if (c.ended || attempt.outcome == Outcome::fulfilled || !may_retry(c)) return Step::pass;
        recent_.add(ctx_.now, retries);
        return chain_.on_call(c, this);
    }

private:
    enum { calls, retries, successes, hedges, hedges_won, counters };
    bool may_retry(const Call& c) {
        const auto reached = [](const Attempt& s) {
            return s.outcome != Outcome::connect_failed && s.outcome != Outcome::never_sent;
        };
        const int most = c.product->max_attempts ? c.product->max_attempts : ctx_.conf.max_attempts;
        if (std::count_if(c.attempts.begin(), c.attempts.end(), reached) >= most) return false;
        const bool limited = static_cast<int>(c.attempts.size()) >= ctx_.conf.max_attempts;
        if (limited || !ctx_.actions.may_repeat(c.id)) return false;
        // Guards against calls that crash every server that takes them: a call whose connection broke at two
        // servers gets no third, and while the list shows servers restarting, it gets no second.
        const auto broke_off = [](const Attempt& s) { return s.outcome == Outcome::reset; };
        if (std::ranges::count_if(c.attempts, broke_off) > !pool_.restarting()) return false;
        if (ctx_.now + Span{c.product->latency} >= useful_until(c)) return false;
        const double rate = (recent_.total(ctx_.now, successes) + 2) / (recent_.total(ctx_.now, retries) + 2);
        return recent_.total(ctx_.now, retries) < 2 + recent_.total(ctx_.now, calls) * rate / 2;
    }
    Context& ctx_;
    Chain& chain_;
    ServerPool& pool_;
    SlidingWindow<counters> recent_;
};

// Sends calls to the selected server, and acts on silence and on the cutoff before the SLO.
class Send : public Stage {
public:
    Send(Context& ctx, ServerPool& pool) : ctx_(ctx), pool_(pool) {}
    Step on_call(Call& c) override {
        Server* server = c.attempts.empty() && pool_.rejected_early(c) ? nullptr : pool_.select(c);
        if (!server) return Step::end;
        Attempt attempt;
        attempt.call = &c;
        attempt.server = server;
        attempt.sent = ctx_.now;
        attempt.number = static_cast<int>(c.attempts.size());
        c.attempts.push_back(attempt);
        ctx_.actions.send(c.id, server->id, c.deadline - ctx_.now);
        ctx_.actions.set_timer(pool_.silence_timeout(c), c.id);
        const Span left = c.arrived + pool_.cutoff(c) - ctx_.now;   // less for a client's retry
        if (attempt.number == 0 && ctx_.conf.slo_penalty && left > Span{}) ctx_.actions.set_timer(left, c.id);
        if (ctx_.conf.hedging && attempt.number == 0) ctx_.actions.set_timer(pool_.hedge_delay(c), c.id);
        ++server->references;
        pool_.attempt_sent(c.attempts.back());
        return Step::keep;
    }
    Step on_attempt_end(Call&, Attempt& attempt) override {
        pool_.attempt_ended(attempt);
        return Step::pass;
    }
    Step on_timer(Call& c) {
        for (const auto& attempt : c.attempts)
            if (attempt.open && ctx_.now - attempt.sent + timer_slack >= pool_.silence_timeout(c))
                pool_.on_silence(attempt);
        const bool in_time = ctx_.now - c.arrived + timer_slack < pool_.cutoff(c);
        const bool keeps = c.ended || c.streaming || !c.has_open() || in_time || !pool_.gives_up(c);
        return keeps ? Step::keep : Step::end;
    }

private:
    Context& ctx_;
    ServerPool& pool_;
};

class DecisionEngine : public Balancer {   // passes the events on to the pool and the stages
public:
    DecisionEngine(Time now, Settings settings, uint64_t seed, Actions& actions)
        : ctx_{std::move(settings), actions, Pcg(seed), now}, pool_(ctx_), allowances_(ctx_),
          retries_(ctx_, chain_, pool_), send_(ctx_, pool_), next_resize_(now + interval) {
        chain_.add(allowances_);
        chain_.add(retries_);
        chain_.add(send_);
        actions.set_timer(tick_period, tick_cookie);
        if (!ctx_.conf.pushed) actions.watch_list();
    }

    void list_began(Time now, bool whole, bool cached) override { pool_at(now).list_began(whole, cached); }
    void server_listed(ServerId id, uint16_t zone, uint16_t cell, State state, double size,
                       Time launched) override {
        pool_.server_listed(id, zone, cell, state, size, launched);
    }
    void list_ended() override { pool_.list_ended(); }
    void list_failed(Time now) override { pool_at(now).list_failed(); }

    void call_arrived(Time now, CallId id, uint32_t product, uint32_t tenant, Span timeout,
                      Span work, uint64_t key, bool again, double affinity) override {
        ctx_.now = now;
        if (product >= ctx_.conf.products.size())
            throw std::runtime_error("unknown product number " + std::to_string(product));
        auto [it, fresh] = calls_.try_emplace(id);
        if (!fresh) return;
        Call& c = it->second;
        c.id = id;
        c.product = &ctx_.conf.products[product];
        ++c.product->open_calls;
        c.tenant = tenant;
        c.work = work;
        c.key = ctx_.conf.warm_keys || affinity > 0 ? key : 0;
        c.affinity = affinity;
        c.deadline = now + timeout;
        c.arrived = again ? pool_.first_arrival(*c.product, c.deadline) : now;
        if (!again) c.product->max_timeout = std::max(c.product->max_timeout, timeout);
        c.attempts.reserve(ctx_.conf.max_attempts);
        pool_.set_weight(c);
        if (timeout <= Span{} || chain_.on_call(c) == Step::end) reject(c);
        release_if_done(c);
    }
    void client_left(Time now, CallId id) override {
        auto* c = find(now, id);
        if (!c) return;
        finish(*c);
        release_if_done(*c);
    }
    bool may_start(Time now, CallId id, int attempt) override {
        auto* c = find(now, id);
        return c && c->open_attempt(attempt) && !c->ended && pool_.may_start(*c->open_attempt(attempt));
    }
    void stream_began(Time now, CallId id, int attempt) override {
        auto* c = find(now, id);
        if (!c || !c->open_attempt(attempt)) return;
        c->streaming = true;
        if (ctx_.conf.known_slots) c->weight = std::min(c->weight, streaming_weight);
        cancel_attempts(*c, attempt);   // the client reads this stream: a hedged attempt is of no use
    }
    void attempt_ended(Time now, CallId id, int number, Outcome outcome, bool call_done) override {
        auto* c = find(now, id);
        if (!c || !c->open_attempt(number)) return;
        Attempt& attempt = *c->open_attempt(number);
        attempt.open = false;
        attempt.outcome = outcome;
        if (call_done) c->ended = true;
        if (chain_.on_attempt_end(*c, attempt) == Step::end && !c->ended) reject(*c);
        if (call_done) finish(*c);
        release_if_done(*c);
    }
    void probe_ended(Time now, ServerId id, bool reply) override {
        if (auto* s = pool_at(now).find(id)) pool_.probe_ended(*s, reply);
    }
    void timer_fired(Time now, uint64_t cookie) override {
        ctx_.now = now;
        if (cookie == list_cookie) return ctx_.actions.watch_list();
        if (auto* c = find(now, cookie))
            return send_.on_timer(*c) == Step::end ? reject(*c) : retries_.on_timer(*c);
        if (cookie != tick_cookie) return;
        pool_.run_checks();
        if (now >= next_resize_) {
            next_resize_ = now + interval;
            pool_.resize();
        }
        ctx_.actions.set_timer(tick_period, tick_cookie);
    }

    void position_changed(int index, int balancers) override {
        ctx_.conf.index = index;
        ctx_.conf.balancers = std::max(1, balancers);
    }
    uint32_t define_product(const Product& product) override { return pool_.define_product(product); }
    const Product* product_of(CallId id) const override {
        const auto it = calls_.find(id);
        return it == calls_.end() ? nullptr : it->second.product;
    }
    void data_received(Time now, ServerId id) override { pool_at(now).data_received(id); }
    void load_reported(Time now, ServerId id, double held) override { pool_at(now).load_reported(id, held); }

private:
    ServerPool& pool_at(Time now) { return ctx_.now = now, pool_; }
    Call* find(Time now, CallId id) {
        ctx_.now = now;
        const auto it = calls_.find(id);
        return it == calls_.end() ? nullptr : &it->second;
    }
    // Sends the one final failure response; the client gets the longest permitted Retry-After.
    void reject(Call& c) {
        const Span retry_after = ctx_.conf.retry_after ? ctx_.conf.max_retry_after : Span{};
        if (may_rate_limit(c)) ctx_.actions.rate_limit(c.id, retry_after);
        else ctx_.actions.error(c.id);
        finish(c);
    }
    void finish(Call& c) {
        c.ended = true;
        if (!c.streaming) cancel_attempts(c);
    }
    void cancel_attempts(Call& c, int except = -1) {
        for (auto& attempt : c.attempts)
            if (ctx_.conf.cancel && attempt.open && attempt.number != except &&
                !std::exchange(attempt.cancel_sent, true))
                ctx_.actions.cancel(c.id, attempt.number);
    }
    void release_if_done(Call& c) {
        if (!c.ended || c.has_open()) return;
        for (const auto& attempt : c.attempts) --attempt.server->references;
        --c.product->open_calls;
        calls_.erase(c.id);
    }

    Context ctx_;
    ServerPool pool_;
    Chain chain_;
    TenantAllowances allowances_;
    Retries retries_;
    Send send_;
    Time next_resize_;
    std::unordered_map<CallId, Call> calls_;   // not iterated: unordered
};

}  // namespace

std::unique_ptr<Balancer> start_balancer(Time now, Settings settings, uint64_t seed, Actions& actions) {
    return std::make_unique<DecisionEngine>(now, std::move(settings), seed, actions);
}

}  // namespace myrtleroute
