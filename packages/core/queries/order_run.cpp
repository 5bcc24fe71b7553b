/** @file order_run.cpp The state machine of one order: claim, send, settle. */
#include "core/queries/order_run.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>

#include <xxhash.h>

#include "core/queries/idempotency_key.h"
#include "core/upstreams/shard_func.h"

namespace pollengrade {

namespace {

constexpr duration first_pause = std::chrono::milliseconds{10};          ///< between two platform calls
constexpr duration longest_pause = std::chrono::seconds{5};              ///< after many failures
constexpr std::uint32_t max_settle_tries = 12;                           ///< then the claim stays as it is
constexpr duration answer_margin = std::chrono::milliseconds{3};         ///< left for the answer's way back
constexpr duration platform_retry_after = std::chrono::seconds{1};       ///< told when the platform is down
constexpr duration upstream_retry_after = std::chrono::milliseconds{50}; ///< told when every server refused
constexpr duration unknown_retry_after = std::chrono::seconds{1};        ///< a replay may learn more by then

std::string hex_of(std::uint64_t n) {
    constexpr int base = 16;
    std::array<char, 16> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), n, base);
    const std::string digits{buf.data(), end};
    return std::string(buf.size() - digits.size(), '0') + digits;
}

} // namespace

claim_name claim_name_of(const service_name& service, std::string_view key) {
    std::string lower{key};
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return claim_name{service.value() + "." + lower};
}

std::uint64_t fingerprint_of(const service_name& service, const shard_query& query) {
    const std::string content = service.value() + '\0' + std::to_string(query.number) + '\0' + query.text;
    return XXH3_64bits(content.data(), content.size());
}

order_run::order_run(order_context context, service& owner, caller_request request, time_point deadline,
                     answer_hook finish, std::function<void()> ended)
    : context_{std::move(context)}, service_{owner}, request_{std::move(request)}, deadline_{deadline},
      finish_{std::move(finish)}, ended_{std::move(ended)}, name_{claim_name_of(
                                                                request_.service,
                                                                request_.query->idempotency_key)} {
    assert(request_.query->kind == query_kind::order);
    claim_.token = hex_of(context_.random()) + hex_of(context_.random());
    claim_.fingerprint = fingerprint_of(request_.service, *request_.query);
}

std::optional<refusal_reason> order_run::invalid_reason() const {
    if (!service_.document().orders_allowed)
        return refusal_reason::orders_forbidden;
    const auto made = time_of_key(request_.query->idempotency_key);
    if (!made)
        return refusal_reason::key_malformed;
    const wall_time now = context_.wall_clock();
    if (*made + max_key_age < now || *made > now + max_key_skew)
        return refusal_reason::key_expired;
    return std::nullopt;
}

void order_run::start() {
    if (const auto reason = invalid_reason()) {
        answer it = blank(outcome::invalid);
        it.reason = *reason;
        reply(std::move(it));
        end();
        return;
    }
    map_ = service_.pin(std::nullopt);
    if (!map_) {
        refuse(refusal_reason::no_snapshot, upstream_retry_after);
        end();
        return;
    }
    deadline_timer_ = context_.timers.schedule_at(deadline_ - answer_margin, [this] { on_deadline(); });
    write_claim(object_version{0});
}

void order_run::write_claim(object_version expected) {
    platform_call_ = true;
    aimed_at_ = expected;
    context_.claims.write(name_, claim_, expected, [this, expected](const store_result& result) {
        platform_call_ = false;
        on_claim_written(expected, result);
    });
}

void order_run::on_claim_written(object_version expected, const store_result& result) {
    if (result)
        held_ = result->version;
    may_hold_ = may_hold_ || result.has_value() || result.error() == store_error::reply_lost;
    if (stage_ == stage::settling) {
        settle_claim();
        return;
    }
    if (result) {
        context_.log.record(event_kind::order_claimed, request_.id, name_.value());
        send();
        return;
    }
    switch (result.error()) {
    case store_error::conflict:
    case store_error::absent:
    case store_error::malformed:
    case store_error::history_gone:
        read_claim();
        break;
    case store_error::reply_lost:
        ++context_.counts.counter("claim_replies_lost");
        retry_claiming([this] { read_claim(); });
        break;
    case store_error::unavailable:
        retry_claiming([this, expected] { write_claim(expected); });
        break;
    }
}

void order_run::read_claim() {
    platform_call_ = true;
    context_.claims.read(name_, [this](const store_result& result) {
        platform_call_ = false;
        on_claim_read(result);
    });
}

void order_run::on_claim_read(const store_result& result) {
    if (stage_ == stage::settling) {
        settle_claim();
        return;
    }
    if (!result) {
        switch (result.error()) {
        case store_error::absent:
            write_claim(object_version{0});
            break;
        case store_error::malformed: {
            // Whoever wrote it may have sent the order.
            reply(blank(outcome::unknown));
            end();
            break;
        }
        case store_error::conflict:
        case store_error::reply_lost:
        case store_error::unavailable:
        case store_error::history_gone:
            retry_claiming([this] { read_claim(); });
            break;
        }
        return;
    }
    if (result->value.token == claim_.token) {
        held_ = result->version;
        may_hold_ = true;
        context_.log.record(event_kind::order_claimed, request_.id, name_.value());
        send();
        return;
    }
    on_other_claim(*result);
}

void order_run::on_other_claim(const stored_claim& other) {
    if (other.value.state != claim_state::released)
        may_hold_ = false; // The object has moved on: no write of this run's claim can take effect any more.
    if (other.value.fingerprint != claim_.fingerprint) {
        answer it = blank(outcome::invalid);
        it.reason = refusal_reason::key_reused;
        reply(std::move(it));
        end();
        return;
    }
    switch (other.value.state) {
    case claim_state::released:
        write_claim(other.version);
        break;
    case claim_state::claimed:
        // Another run is at work, or was lost: its record may still come before the deadline.
        waits_for_other_ = true;
        retry_claiming([this] { read_claim(); });
        break;
    case claim_state::answered: {
        answer it = blank(outcome::answered);
        it.version = other.value.version;
        it.rows = other.value.rows;
        it.included.push_back(other.value.shard);
        it.replayed = true;
        reply(std::move(it));
        end();
        break;
    }
    case claim_state::unknown: {
        answer it = blank(outcome::unknown);
        it.replayed = true;
        reply(std::move(it));
        end();
        break;
    }
    }
}

void order_run::retry_claiming(std::function<void()> step) {
    const duration pause = std::min(longest_pause, first_pause * (1U << std::min(pauses_, 9U)));
    ++pauses_;
    const auto jitter =
        static_cast<duration::rep>(context_.random() % static_cast<std::uint64_t>(pause.count()));
    pause_ = context_.timers.schedule_after(pause / 2 + duration{jitter} / 2, [this, step = std::move(step)] {
        pause_.reset();
        step();
    });
}

void order_run::on_deadline() {
    deadline_timer_.reset();
    switch (stage_) {
    case stage::claiming:
        if (pause_)
            context_.timers.cancel(*pause_);
        if (waits_for_other_)
            reply(blank(outcome::unknown));
        else
            refuse(refusal_reason::platform_down, platform_retry_after);
        release();
        break;
    case stage::sending: {
        assert(live_);
        const bool sent = context_.servers.was_sent(*live_);
        context_.servers.cancel(*std::exchange(live_, std::nullopt), cancel_reason::superseded);
        if (sent) {
            reply(blank(outcome::unknown));
            record(claim_state::unknown);
        } else {
            refuse(refusal_reason::overload, upstream_retry_after);
            release();
        }
        break;
    }
    case stage::settling:
    case stage::ended:
        break;
    }
}

void order_run::send() {
    assert(held_ != object_version{});
    // A long pause of this process may lie between the claim and this line: look at the clock again.
    if (context_.timers.now() >= deadline_ - answer_margin) {
        refuse(refusal_reason::deadline_passed, platform_retry_after);
        release();
        return;
    }
    const shard_entry& shard = shard_of_number(*map_, request_.query->number);
    const replica_set_name set = service::set_of(shard);
    const availability found = context_.servers.availability_of(set, tried_, placement_purpose::no_trial);
    if (found == availability::none || found == availability::full) {
        refuse(refusal_reason::upstream_refused, upstream_retry_after);
        release();
        return;
    }
    stage_ = stage::sending;
    context_.log.record(event_kind::order_sent, request_.id, set.value(),
                        {{event_key::attempts, tried_.size() + 1}});
    ++context_.counts.counter("orders_sent");
    attempt_request attempt;
    attempt.set = set;
    attempt.work = work_class{request_.service.value() + " order"};
    attempt.request = request_.id;
    attempt.deadline = deadline_;
    attempt.purpose = placement_purpose::no_trial;
    attempt.excluded = tried_;
    attempt.content = index_request{request_.service, shard.id, map_->version, request_.query};
    live_ =
        context_.servers.submit(std::move(attempt), [this](const attempt_end& it) { on_sent_result(it); });
}

void order_run::on_sent_result(const attempt_end& end) {
    if (live_ != end.id)
        return;
    live_.reset();
    const shard_entry& shard = shard_of_number(*map_, request_.query->number);
    if (!end.result && proves_not_run(end.result.error().code)) {
        if (!end.server.value().empty())
            tried_.push_back(end.server);
        send();
        return;
    }
    const auto* reply_in = end.result ? std::get_if<shard_reply>(&*end.result) : nullptr;
    const bool is_ours = reply_in != nullptr && reply_in->request == request_.id &&
                         reply_in->shard == shard.id && reply_in->version == map_->version;
    if (!is_ours) {
        reply(blank(outcome::unknown));
        record(claim_state::unknown);
        return;
    }
    claim_.version = reply_in->version;
    claim_.shard = shard.id;
    claim_.rows = reply_in->rows;
    answer it = blank(outcome::answered);
    it.version = reply_in->version;
    it.rows = reply_in->rows;
    it.included.push_back(shard.id);
    reply(std::move(it));
    record(claim_state::answered);
}

void order_run::record(claim_state state) {
    assert(held_ != object_version{});
    claim_.state = state;
    stage_ = stage::settling;
    settle_claim();
}

void order_run::release() {
    claim_.state = claim_state::released;
    stage_ = stage::settling;
    if (!platform_call_)
        settle_claim();
}

void order_run::settle_claim() {
    if (!may_hold_) {
        end();
        return;
    }
    if (settle_tries_++ >= max_settle_tries) {
        ++context_.counts.counter("claims_left_unsettled");
        end();
        return;
    }
    // A claim that was never seen is settled at the version it was aimed at: a late write then conflicts.
    const object_version expected = held_ != object_version{} ? held_ : aimed_at_;
    context_.claims.write(name_, claim_, expected,
                          [this](const store_result& result) { on_settled(result); });
}

void order_run::on_settled(const store_result& result) {
    if (result) {
        context_.log.record(claim_.state == claim_state::released ? event_kind::order_released
                                                                  : event_kind::order_recorded,
                            request_.id, name_.value());
        end();
        return;
    }
    switch (result.error()) {
    case store_error::conflict:
        take_over_version();
        break;
    case store_error::reply_lost:
    case store_error::unavailable:
    case store_error::history_gone:
        retry_claiming([this] { settle_claim(); });
        break;
    case store_error::absent:
    case store_error::malformed:
        end();
        break;
    }
}

void order_run::take_over_version() {
    context_.claims.read(name_, [this](const store_result& result) {
        const bool is_open = result && result->value.token == claim_.token &&
                             result->value.state == claim_state::claimed && result->version != held_;
        if (is_open) {
            held_ = result->version;
            settle_claim();
        } else if (!result && result.error() != store_error::absent &&
                   result.error() != store_error::malformed) {
            retry_claiming([this] { settle_claim(); });
        } else {
            end(); // An earlier write took effect, or the claim was never this run's.
        }
    });
}

void order_run::refuse(refusal_reason reason, duration retry_after) {
    answer it = blank(outcome::refused);
    it.reason = reason;
    // Whoever holds the claim knows that no earlier attempt under this key has run.
    it.scope = held_ != object_version{} ? refusal_scope::request : refusal_scope::attempt;
    it.retry_after = retry_after;
    reply(std::move(it));
}

answer order_run::blank(outcome result) const {
    answer it;
    it.id = request_.id;
    it.result = result;
    if (result == outcome::unknown)
        it.retry_after = unknown_retry_after;
    return it;
}

void order_run::reply(answer it) {
    if (deadline_timer_)
        context_.timers.cancel(*std::exchange(deadline_timer_, std::nullopt));
    if (const answer_hook finish = std::exchange(finish_, nullptr))
        finish(std::move(it));
}

void order_run::end() {
    assert(stage_ != stage::ended);
    stage_ = stage::ended;
    ended_();
}

} // namespace pollengrade
