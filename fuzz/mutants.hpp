// Mutants of the core. Each breaks one guarantee, which shows that the oracle detects violations of it.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "world.hpp"

namespace plantainpoint::fuzz {

// Base of the mutations, which changes nothing. A mutation sees every input before the core and every command of the core.
struct no_mutation {
    // Returns false to drop the input.
    bool mutateInput(input &, vm_core &) { return true; }
    // Appends the commands that replace the given command.
    void mutateCommand(command value, std::vector<command> &out) { out.push_back(std::move(value)); }
};

// P1: Cancellations are lost.
struct cancels_dropped : no_mutation {
    void mutateCommand(command value, std::vector<command> &out)
    {
        if (!std::holds_alternative<cancel_attempt>(value)) {
            out.push_back(std::move(value));
        }
    }
};

// P2: The terminal answer is sent twice.
struct answers_twice : no_mutation {
    void mutateCommand(command value, std::vector<command> &out)
    {
        if (std::holds_alternative<answer_done>(value) || std::holds_alternative<answer_plain>(value)) {
            out.push_back(value);
        }
        out.push_back(std::move(value));
    }
};

// P3: Every request runs for the account of the first key seen.
struct wrong_account : no_mutation {
    std::optional<key_digest> firstKey;

    bool mutateInput(input &message, vm_core &)
    {
        if (auto *const request = std::get_if<caller_request>(&message); request != nullptr && request->key) {
            firstKey = firstKey ? firstKey : request->key;
            request->key = firstKey;
        }
        return true;
    }
};

// P4: The client key is forwarded to the endpoint.
struct forwards_key : no_mutation {
    std::string key;

    bool mutateInput(input &message, vm_core &)
    {
        if (const auto *const request = std::get_if<caller_request>(&message); request != nullptr && request->key) {
            key = toHex(*request->key);
        }
        return true;
    }

    void mutateCommand(command value, std::vector<command> &out)
    {
        if (auto *const dispatch = std::get_if<dispatch_plain>(&value); dispatch != nullptr && !key.empty()) {
            dispatch->headers.push_back({"Authorization", key});
        }
        out.push_back(std::move(value));
    }
};

// P5: A withdrawn key is still accepted. The mutant replaces the key by another valid key of the same account.
struct withdrawal_ignored : no_mutation {
    bool mutateInput(input &message, vm_core &)
    {
        auto *const request = std::get_if<caller_request>(&message);
        if (request != nullptr && request->key == digestOf("key-text-a1")) {
            request->key = digestOf("key-text-a2");
        }
        return true;
    }
};

// P7: The second token of every answer is lost.
struct token_skipped : no_mutation {
    void mutateCommand(command value, std::vector<command> &out)
    {
        const auto *const token = std::get_if<answer_token>(&value);
        if (token == nullptr || token->position != 1) {
            out.push_back(std::move(value));
        }
    }
};

// P8: Every failure is reported as not run.
struct always_not_run : no_mutation {
    void mutateCommand(command value, std::vector<command> &out)
    {
        if (auto *const failure = std::get_if<answer_failure>(&value); failure != nullptr) {
            failure->result = outcome::NotRun;
        }
        out.push_back(std::move(value));
    }
};

// P9: A booking whose answer is lost is dispatched again.
struct booking_retried : no_mutation {
    std::vector<dispatch_plain> sentBookings;
    std::vector<dispatch_plain> bookingsToRepeat;

    bool mutateInput(input &message, vm_core &)
    {
        const auto *const failed = std::get_if<attempt_failed>(&message);
        if (failed == nullptr || !failed->mayHaveRun) {
            return true;
        }
        const auto it = std::find_if(sentBookings.begin(), sentBookings.end(), [&](const dispatch_plain &value) { return value.attempt == failed->attempt; });
        if (it == sentBookings.end()) {
            return true;
        }
        bookingsToRepeat.push_back(*it);
        sentBookings.erase(it);
        return true;
    }

    void mutateCommand(command value, std::vector<command> &out)
    {
        const auto *const dispatch = std::get_if<dispatch_plain>(&value);
        if (dispatch != nullptr && dispatch->method == "POST") {
            sentBookings.push_back(*dispatch);
        }
        out.push_back(std::move(value));
        for (auto &booking : bookingsToRepeat) {
            out.emplace_back(std::move(booking));
        }
        bookingsToRepeat.clear();
    }
};

// P10: All plain requests go to the plain endpoint that was used first, even while it drains.
struct drain_ignored : no_mutation {
    std::optional<std::pair<endpoint_name, std::string>> firstEndpoint;

    void mutateCommand(command value, std::vector<command> &out)
    {
        if (auto *const dispatch = std::get_if<dispatch_plain>(&value); dispatch != nullptr) {
            firstEndpoint = firstEndpoint ? firstEndpoint : std::pair{dispatch->endpoint, dispatch->address};
            dispatch->endpoint = firstEndpoint->first;
            dispatch->address = firstEndpoint->second;
        }
        out.push_back(std::move(value));
    }
};

// P11: A shutdown does not wait for open requests.
struct shutdown_at_once : no_mutation {
    bool shutdownRequested = false;

    bool mutateInput(input &message, vm_core &)
    {
        shutdownRequested = shutdownRequested || std::holds_alternative<shutdown_requested>(message);
        return true;
    }

    void mutateCommand(command value, std::vector<command> &out)
    {
        out.push_back(std::move(value));
        if (std::exchange(shutdownRequested, false)) {
            out.emplace_back(stopped{});
        }
    }
};

// P12: Log entries are not applied any more after the start.
struct configuration_frozen : no_mutation {
    bool mutateInput(input &message, vm_core &core)
    {
        if (auto *const read = std::get_if<log_read>(&message); read != nullptr && core.ready()) {
            read->entries.clear();
            return true;
        }
        if (const auto *const peer = std::get_if<peer_received>(&message); peer != nullptr && core.ready()) {
            return !std::holds_alternative<log_relay>(peer->message.body);
        }
        return true;
    }
};

// Production core whose inputs and commands pass through a mutation.
template<class Mutation>
class mutated_core final : public tested_core
{
public:
    mutated_core(const vm_settings &settings, const clock_source &clock, const wall_clock_source &wallClock)
        : m_core(settings, clock, wallClock)
    {
    }

    void handle(input message) override
    {
        if (m_mutation.mutateInput(message, m_core)) {
            m_core.handle(std::move(message));
        }
    }

    void tick() override { m_core.tick(); }

    std::vector<command> take() override
    {
        std::vector<command> out;
        for (auto &value : m_core.take()) {
            m_mutation.mutateCommand(std::move(value), out);
        }
        return out;
    }

    time_point nextTick() const override { return m_core.nextTick(); }
    bool ready() const override { return m_core.ready(); }
    incarnation_id self() const override { return m_core.self(); }
    nlohmann::json status() const override { return m_core.status(); }

private:
    vm_core m_core;
    Mutation m_mutation;
};

template<class Mutation>
core_factory factoryOf()
{
    return [](const vm_settings &settings, const clock_source &clock, const wall_clock_source &wallClock) -> std::unique_ptr<tested_core> {
        return std::make_unique<mutated_core<Mutation>>(settings, clock, wallClock);
    };
}

// P6: The clock of the VM runs at three times the true speed, so that its bucket shares fill too fast.
class fast_clock final : public clock_source
{
public:
    explicit fast_clock(const clock_source &clock)
        : m_clock(clock)
    {
    }
    time_point now() const override { return time_point(m_clock.now().time_since_epoch() * speedFactor); }
    static constexpr int speedFactor = 3;

private:
    const clock_source &m_clock;
};

class fast_clock_core final : public tested_core
{
public:
    fast_clock_core(const vm_settings &settings, const clock_source &clock, const wall_clock_source &wallClock)
        : m_clock(clock)
        , m_core(settings, m_clock, wallClock)
    {
    }

    void handle(input message) override
    {
        if (auto *const read = std::get_if<log_read>(&message); read != nullptr) {
            read->sentAt = time_point(read->sentAt.time_since_epoch() * fast_clock::speedFactor);
        }
        m_core.handle(std::move(message));
    }
    void tick() override { m_core.tick(); }
    std::vector<command> take() override { return m_core.take(); }
    time_point nextTick() const override { return time_point(m_core.nextTick().time_since_epoch() / fast_clock::speedFactor); }
    bool ready() const override { return m_core.ready(); }
    incarnation_id self() const override { return m_core.self(); }
    nlohmann::json status() const override { return m_core.status(); }

private:
    fast_clock m_clock;
    vm_core m_core;
};

struct mutant_entry {
    std::string_view guarantee;
    std::string_view name;
    core_factory factory;
};

inline std::vector<mutant_entry> allMutants()
{
    const core_factory fastClockFactory =
        [](const vm_settings &settings, const clock_source &clock, const wall_clock_source &wallClock) -> std::unique_ptr<tested_core> {
        return std::make_unique<fast_clock_core>(settings, clock, wallClock);
    };
    return {{"P1", "cancels_dropped", factoryOf<cancels_dropped>()},
            {"P2", "answers_twice", factoryOf<answers_twice>()},
            {"P3", "wrong_account", factoryOf<wrong_account>()},
            {"P4", "forwards_key", factoryOf<forwards_key>()},
            {"P5", "withdrawal_ignored", factoryOf<withdrawal_ignored>()},
            {"P6", "fast_clock", fastClockFactory},
            {"P7", "token_skipped", factoryOf<token_skipped>()},
            {"P8", "always_not_run", factoryOf<always_not_run>()},
            {"P9", "booking_retried", factoryOf<booking_retried>()},
            {"P10", "drain_ignored", factoryOf<drain_ignored>()},
            {"P11", "shutdown_at_once", factoryOf<shutdown_at_once>()},
            {"P12", "configuration_frozen", factoryOf<configuration_frozen>()}};
}

} // namespace plantainpoint::fuzz
