/** @file order_run.cpp State machine of one order: claim, send, settle. */
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

constexpr duration initial_backoff =
    std::chrono::milliseconds{10};                        ///< before the first retry of a platform call
constexpr duration max_backoff = std::chrono::seconds{5}; ///< upper bound after many failures
constexpr std::uint32_t max_settle_attempts = 12;         ///< after these the claim stays as it is
constexpr duration answer_margin =
    std::chrono::milliseconds{3}; ///< reserved for sending the answer to the caller
constexpr duration platform_retry_after =
    std::chrono::seconds{1}; ///< if the platform is unreachable or too slow
constexpr duration upstream_retry_after = std::chrono::milliseconds{50}; ///< if no server can take the order
constexpr duration unknown_retry_after = std::chrono::seconds{1}; ///< a replay may find the outcome by then

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
        answer it = make_answer(outcome::invalid);
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

void order_run::limit(const stop_limit& limit) {
    if (stage_ != stage::claiming && stage_ != stage::sending)
        return;
    const time_point now = context_.timers.now();
    last_send_ = limit.last_send;
    deadline_ = std::min(deadline_, limit.last_answer);
    send_timer_ = context_.timers.schedule_at(std::max(now, limit.last_send), [this] { on_last_send(); });
    if (!deadline_timer_)
        return;
    context_.timers.cancel(*deadline_timer_);
    deadline_timer_ =
        context_.timers.schedule_at(std::max(now, deadline_ - answer_margin), [this] { on_deadline(); });
}

void order_run::on_last_send() {
    send_timer_.reset();
    const bool was_sent = stage_ == stage::sending && live_ && context_.servers.was_sent(*live_);
    if (was_sent || !deadline_timer_)
        return;
    context_.timers.cancel(*deadline_timer_);
    on_deadline();
}

bool order_run::is_past_last_send() const {
    return last_send_ && context_.timers.now() >= *last_send_;
}

void order_run::refuse_unsent(refusal_reason reason, duration retry_after) {
    if (is_past_last_send())
        refuse(refusal_reason::stopping, stopping_retry_after);
    else
        refuse(reason, retry_after);
    release();
}

void order_run::write_claim(object_version expected) {
    platform_call_ = true;
    expected_version_ = expected;
    context_.claims.write(name_, claim_, expected, [this, expected](const store_result& result) {
        platform_call_ = false;
        on_claim_written(expected, result);
    });
}

void order_run::on_claim_written(object_version expected, const store_result& result) {
    if (result)
        held_version_ = result->version;
    may_hold_claim_ = may_hold_claim_ || result.has_value() || result.error() == store_error::reply_lost;
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
        retry_after_backoff([this] { read_claim(); });
        break;
    case store_error::unavailable:
        retry_after_backoff([this, expected] { write_claim(expected); });
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
            // The run that wrote the claim may have sent the order.
            reply(make_answer(outcome::unknown));
            end();
            break;
        }
        case store_error::conflict:
        case store_error::reply_lost:
        case store_error::unavailable:
        case store_error::history_gone:
            retry_after_backoff([this] { read_claim(); });
            break;
        }
        return;
    }
    if (result->value.token == claim_.token) {
        held_version_ = result->version;
        may_hold_claim_ = true;
        context_.log.record(event_kind::order_claimed, request_.id, name_.value());
        send();
        return;
    }
    on_foreign_claim(*result);
}

void order_run::on_foreign_claim(const stored_claim& other) {
    // Unless released, the object belongs to another run: no write of this run's claim can take effect any
    // more.
    if (other.value.state != claim_state::released)
        may_hold_claim_ = false;
    if (other.value.fingerprint != claim_.fingerprint) {
        answer it = make_answer(outcome::invalid);
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
        // Another run is in progress or was lost; its outcome may still be recorded before the deadline.
        waits_for_other_ = true;
        retry_after_backoff([this] { read_claim(); });
        break;
    case claim_state::answered: {
        answer it = make_answer(outcome::answered);
        it.version = other.value.version;
        it.rows = other.value.rows;
        it.included.push_back(other.value.shard);
        it.replayed = true;
        reply(std::move(it));
        end();
        break;
    }
    case claim_state::unknown: {
        answer it = make_answer(outcome::unknown);
        it.replayed = true;
        reply(std::move(it));
        end();
        break;
    }
    }
}

void order_run::retry_after_backoff(std::function<void()> step) {
    const duration backoff = std::min(max_backoff, initial_backoff * (1U << std::min(backoffs_, 9U)));
    ++backoffs_;
    const auto jitter =
        static_cast<duration::rep>(context_.random() % static_cast<std::uint64_t>(backoff.count()));
    backoff_timer_ =
        context_.timers.schedule_after(backoff / 2 + duration{jitter} / 2, [this, step = std::move(step)] {
            backoff_timer_.reset();
            step();
        });
}

void order_run::on_deadline() {
    deadline_timer_.reset();
    switch (stage_) {
    case stage::claiming:
        if (backoff_timer_)
            context_.timers.cancel(*backoff_timer_);
        if (waits_for_other_) {
            reply(make_answer(outcome::unknown));
            release();
        } else {
            refuse_unsent(refusal_reason::platform_down, platform_retry_after);
        }
        break;
    case stage::sending: {
        assert(live_);
        const bool sent = context_.servers.was_sent(*live_);
        context_.servers.cancel(*std::exchange(live_, std::nullopt), cancel_reason::superseded);
        if (sent) {
            reply(make_answer(outcome::unknown));
            record(claim_state::unknown);
        } else {
            refuse_unsent(refusal_reason::overload, upstream_retry_after);
        }
        break;
    }
    case stage::settling:
    case stage::ended:
        break;
    }
}

void order_run::send() {
    assert(held_version_ != object_version{});
    // The process may have been suspended since the claim was written, so the deadline is checked again.
    if (is_past_last_send() || context_.timers.now() >= deadline_ - answer_margin) {
        refuse_unsent(refusal_reason::deadline_passed, platform_retry_after);
        return;
    }
    const shard_entry& shard = shard_of_number(*map_, request_.query->number);
    const replica_set_name set = service::set_of(shard);
    const availability found = context_.servers.availability_of(set, tried_, placement_purpose::no_trial);
    if (found != availability::immediate && found != availability::waiting) {
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
    attempt.work = order_work_of(request_.service);
    attempt.request = request_.id;
    attempt.deadline = deadline_;
    attempt.target = attempt.deadline;
    attempt.purpose = placement_purpose::no_trial;
    attempt.excluded = tried_;
    attempt.content = index_request{request_.service, shard.id, map_->version, request_.query};
    live_ =
        context_.servers.submit(std::move(attempt), [this](const attempt_end& it) { on_attempt_end(it); });
}

void order_run::on_attempt_end(const attempt_end& end) {
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
    const auto* received = end.result ? std::get_if<shard_reply>(&*end.result) : nullptr;
    const bool is_match = received != nullptr && received->request == request_.id &&
                          received->shard == shard.id && received->version == map_->version;
    if (!is_match) {
        reply(make_answer(outcome::unknown));
        record(claim_state::unknown);
        return;
    }
    claim_.version = received->version;
    claim_.shard = shard.id;
    claim_.rows = received->rows;
    answer it = make_answer(outcome::answered);
    it.version = received->version;
    it.rows = received->rows;
    it.included.push_back(shard.id);
    reply(std::move(it));
    record(claim_state::answered);
}

void order_run::record(claim_state state) {
    assert(held_version_ != object_version{});
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
    if (!may_hold_claim_) {
        end();
        return;
    }
    if (settle_attempts_++ >= max_settle_attempts) {
        ++context_.counts.counter("claims_left_unsettled");
        end();
        return;
    }
    // An unconfirmed claim is settled at the version that its claiming write expected: if the claiming write
    // arrives later, it conflicts.
    const object_version expected = held_version_ != object_version{} ? held_version_ : expected_version_;
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
        refresh_held_version();
        break;
    case store_error::reply_lost:
    case store_error::unavailable:
    case store_error::history_gone:
        retry_after_backoff([this] { settle_claim(); });
        break;
    case store_error::absent:
    case store_error::malformed:
        end();
        break;
    }
}

void order_run::refresh_held_version() {
    context_.claims.read(name_, [this](const store_result& result) {
        const bool is_open = result && result->value.token == claim_.token &&
                             result->value.state == claim_state::claimed && result->version != held_version_;
        if (is_open) {
            held_version_ = result->version;
            settle_claim();
        } else if (!result && result.error() != store_error::absent &&
                   result.error() != store_error::malformed) {
            retry_after_backoff([this] { settle_claim(); });
        } else {
            end(); // An earlier write took effect, or the claim was never this run's.
        }
    });
}

void order_run::refuse(refusal_reason reason, duration retry_after) {
    answer it = make_answer(outcome::refused);
    it.reason = reason;
    // Holding the claim proves that no earlier attempt under this key has run.
    it.scope = held_version_ != object_version{} ? refusal_scope::request : refusal_scope::attempt;
    it.retry_after = retry_after;
    reply(std::move(it));
}

answer order_run::make_answer(outcome result) const {
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
    if (send_timer_)
        context_.timers.cancel(*std::exchange(send_timer_, std::nullopt));
    stage_ = stage::ended;
    ended_();
}

} // namespace pollengrade
