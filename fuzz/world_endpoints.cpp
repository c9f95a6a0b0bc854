// Engines and plain services of the simulated fleet.
#include "world_state.hpp"

namespace plantainpoint::fuzz {

world::simulated_endpoint *world::findEndpoint(const endpoint_name &name)
{
    const auto it = std::find_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto &endpoint) { return endpoint->description.name == name; });
    return it == m_endpoints.end() ? nullptr : it->get();
}

world::simulated_endpoint *world::findEndpointByAddress(const std::string &address)
{
    const auto it = std::find_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto &endpoint) { return endpoint->description.address == address; });
    return it == m_endpoints.end() ? nullptr : it->get();
}

void world::reply(simulated_vm &vm, std::uint64_t startNumber, const attempt_label &attempt, input message)
{
    if (vm.startNumber != startNumber || vm.closedAttempts.contains(attempt)) {
        return;
    }
    if (chance(m_network.duplicate)) {
        scheduleAfter(jitter(milliseconds(1), milliseconds(500)), [this, &vm, startNumber, message] { deliver(vm, startNumber, message); });
    }
    if (chance(m_network.duplicate)) {
        // A misrouted copy of the answer also reaches another VM.
        auto &otherVm = *m_vms[(vm.number + 1) % m_settings.vms];
        deliver(otherVm, otherVm.startNumber, message);
    }
    deliver(vm, startNumber, std::move(message));
}

void world::releaseMemory(simulated_endpoint &endpoint, const attempt_label &attempt)
{
    endpoint.running.erase(attempt);
    m_oracle.onMemoryFreed(endpoint.description.name, attempt);
}

void world::execute(simulated_vm &vm, const dispatch_prefill &value)
{
    auto *const endpoint = findEndpoint(value.endpoint);
    const auto startNumber = vm.startNumber;
    const auto attempt = value.attempt;
    const auto fail = [this, &vm, startNumber, attempt](const char *code, bool mayHaveRun) {
        scheduleAfter(milliseconds(1), [=, this, &vm] { reply(vm, startNumber, attempt, attempt_failed{attempt, code, mayHaveRun}); });
    };
    m_oracle.onDispatch(attempt, value.endpoint, {}, value.prompt, m_clock.now());
    if (endpoint == nullptr || !endpoint->alive) {
        fail("connect", false);
        return;
    }
    if (endpoint->cancelled.contains(attempt)) {
        fail("cancelled", false);
        return;
    }
    endpoint->running[attempt] = {startNumber, vm.number, false, "", value.prompt, value.promptTokens};
    m_oracle.onMemoryHeld(value.endpoint, attempt, m_clock.now());
    endpoint->prefillsDoneAt = std::max(endpoint->prefillsDoneAt, m_clock.now()) + std::chrono::microseconds(50) * value.promptTokens;
    scheduleAt(endpoint->prefillsDoneAt, [this, endpoint, attempt, &vm, startNumber] {
        const auto it = endpoint->running.find(attempt);
        if (it == endpoint->running.end() || !endpoint->alive) {
            return;
        }
        it->second.held = true;
        it->second.kvId = endpoint->description.name.value + "-" + std::to_string(endpoint->nextKv++);
        reply(vm, startNumber, attempt, prefill_done{attempt, it->second.kvId, 0});
        scheduleAfter(kvEvictionDelay, [this, endpoint, attempt] { releaseMemory(*endpoint, attempt); });
    });
    scheduleAfter(value.timeout, [this, &vm, startNumber, attempt, endpoint] {
        const auto it = endpoint->running.find(attempt);
        if (it != endpoint->running.end() && !it->second.held) {
            reply(vm, startNumber, attempt, attempt_failed{attempt, "timeout", true});
        }
    });
}

void world::execute(simulated_vm &vm, const dispatch_decode &value)
{
    m_oracle.onDispatch(value.attempt, value.endpoint, {}, value.prompt, m_clock.now());
    scheduleAfter(jitter(std::chrono::microseconds(200), milliseconds(1)),
                  [this, &vm, startNumber = vm.startNumber, value] { startDecode(vm, startNumber, value); });
}

void world::startDecode(simulated_vm &vm, std::uint64_t startNumber, const dispatch_decode &value)
{
    auto *const endpoint = findEndpoint(value.endpoint);
    const auto attempt = value.attempt;
    const auto fail = [&](const char *code, bool mayHaveRun) { reply(vm, startNumber, attempt, attempt_failed{attempt, code, mayHaveRun}); };
    if (endpoint == nullptr || !endpoint->alive) {
        fail("connect", false);
        return;
    }
    if (endpoint->cancelled.contains(attempt) || endpoint->running.contains(attempt)) {
        fail("cancelled", false);
        return;
    }
    if (static_cast<int>(endpoint->running.size()) >= decodeSlots) {
        fail("memory_full", false);
        return;
    }
    auto *const source = findEndpointByAddress(value.kvSource);
    const bool kvHeld = source != nullptr && std::any_of(source->running.begin(), source->running.end(), [&](const auto &entry) {
                            return entry.second.kvId == value.kvId && entry.second.held;
                        });
    if (!kvHeld) {
        fail("kv_evicted", false);
        return;
    }
    if (m_transfersStalledUntil > m_clock.now()) {
        scheduleAfter(seconds(2), [this, &vm, startNumber, attempt] { reply(vm, startNumber, attempt, attempt_failed{attempt, "transfer_stalled", false}); });
        return;
    }
    releaseMemory(*source, attempt);
    endpoint->running[attempt] = {startNumber, vm.number, false, "", value.prompt, value.maxTokens};
    m_oracle.onMemoryHeld(value.endpoint, attempt, m_clock.now());
    scheduleAfter(milliseconds(5) + tokenInterval, [this, endpoint, attempt, from = value.resumeFrom] { nextToken(*endpoint, attempt, from); });
}

void world::nextToken(simulated_endpoint &endpoint, const attempt_label &attempt, std::int32_t position)
{
    const auto it = endpoint.running.find(attempt);
    if (it == endpoint.running.end() || !endpoint.alive) {
        return;
    }
    const auto work = it->second;
    auto &vm = *m_vms[work.vmNumber];
    if (position >= work.tokens) {
        releaseMemory(endpoint, attempt);
        reply(vm, work.startNumber, attempt, decode_done{attempt, "length", work.tokens});
        return;
    }
    reply(vm, work.startNumber, attempt, decoded_token{attempt, position, expectedToken(work.prompt, position)});
    scheduleAfter(tokenInterval, [this, &endpoint, attempt, position] { nextToken(endpoint, attempt, position + 1); });
}

void world::execute(simulated_vm &vm, const dispatch_plain &value)
{
    auto *const endpoint = findEndpoint(value.endpoint);
    const auto startNumber = vm.startNumber;
    const auto attempt = value.attempt;
    m_oracle.onDispatch(attempt, value.endpoint, value.headers, value.body, m_clock.now());
    scheduleAfter(jitter(std::chrono::microseconds(200), milliseconds(1)),
                  [this, &vm, startNumber, attempt, endpoint, method = value.method, body = value.body, timeout = value.timeout] {
                      if (endpoint == nullptr || !endpoint->alive) {
                          reply(vm, startNumber, attempt, attempt_failed{attempt, "connect", false});
                          return;
                      }
                      if (method == "POST") {
                          m_oracle.onBookingRun(attempt);
                      }
                      if (m_serviceAnswersToLose > 0) {
                          --m_serviceAnswersToLose;
                          reply(vm, startNumber, attempt, attempt_failed{attempt, "closed", true});
                          return;
                      }
                      const auto answerTime = jitter(milliseconds(2), milliseconds(8)) + jitter(duration{}, m_network.extraDelay);
                      scheduleAfter(std::min(answerTime, timeout), [this, &vm, startNumber, attempt, endpoint, body, late = answerTime > timeout] {
                          if (late || !endpoint->alive) {
                              reply(vm, startNumber, attempt, attempt_failed{attempt, late ? "timeout" : "closed", true});
                          } else {
                              reply(vm, startNumber, attempt, plain_response{attempt, 200, {}, body});
                          }
                      });
                  });
}

void world::execute(simulated_vm &, const cancel_attempt &value)
{
    auto *const endpoint = findEndpoint(value.endpoint);
    if (endpoint == nullptr || chance(m_network.drop)) {
        return;
    }
    scheduleAfter(jitter(std::chrono::microseconds(200), milliseconds(2)), [this, endpoint, attempt = value.attempt] {
        if (!endpoint->alive) {
            return;
        }
        endpoint->cancelled[attempt] = m_clock.now() + cancelRetention;
        releaseMemory(*endpoint, attempt);
    });
}

void world::execute(simulated_vm &vm, const close_attempt &value)
{
    vm.closedAttempts.insert(value.attempt);
}

void world::execute(simulated_vm &vm, const read_load &value)
{
    ++m_traffic.loadReads;
    auto *const endpoint = findEndpoint(value.endpoint);
    load_report report;
    report.endpoint = value.endpoint;
    report.reachable = endpoint != nullptr && endpoint->alive;
    if (report.reachable) {
        report.role = endpoint->description.role;
        report.models = {"model"};
        for (const auto &[attempt, work] : endpoint->running) {
            (work.held ? report.held : report.running).push_back(attempt);
        }
        report.slotsTotal = decodeSlots;
        report.slotsUsed = static_cast<std::int32_t>(endpoint->running.size());
        report.kvBlocksTotal = endpoint->description.kvBlocks;
        report.kvBlocksUsed = report.slotsUsed;
        report.age = loadReportDelay;
    }
    scheduleAfter(loadReportDelay, [this, &vm, startNumber = vm.startNumber, report] { deliver(vm, startNumber, report); });
}

void world::execute(simulated_vm &vm, const read_cache_events &value)
{
    scheduleAfter(milliseconds(2), [this, &vm, startNumber = vm.startNumber, value] {
        deliver(vm, startNumber, cache_events{value.endpoint, value.from, {}});
    });
}

void world::execute(simulated_vm &vm, const send_order &value)
{
    auto *const endpoint = findEndpoint(value.endpoint);
    if (endpoint == nullptr || !endpoint->alive) {
        return;
    }
    endpoint->fencing = value.fencing;
    endpoint->order = value.order;
    scheduleAfter(milliseconds(2), [this, &vm, startNumber = vm.startNumber, value] {
        deliver(vm, startNumber, order_answer{value.endpoint, value.fencing, std::nullopt});
    });
}

void world::execute(simulated_vm &vm, const read_endpoint_state &value)
{
    auto *const endpoint = findEndpoint(value.endpoint);
    endpoint_state_answer answer;
    answer.endpoint = value.endpoint;
    answer.reachable = endpoint != nullptr && endpoint->alive;
    if (answer.reachable) {
        answer.role = endpoint->description.role;
        answer.model = endpoint->description.model;
        answer.version = endpoint->order.version.empty() ? "1" : endpoint->order.version;
        answer.fencing = endpoint->fencing;
    }
    scheduleAfter(milliseconds(2), [this, &vm, startNumber = vm.startNumber, answer] { deliver(vm, startNumber, answer); });
}

void world::killEndpoint(int number)
{
    auto &endpoint = *m_endpoints[number % m_endpoints.size()];
    if (!endpoint.alive) {
        return;
    }
    endpoint.alive = false;
    const auto running = endpoint.running;
    for (const auto &[attempt, work] : running) {
        releaseMemory(endpoint, attempt);
        reply(*m_vms[work.vmNumber], work.startNumber, attempt, attempt_failed{attempt, "closed", true});
    }
    endpoint.prefillsDoneAt = {};
    endpoint.cancelled.clear();
}

void world::restoreEndpoint(int number)
{
    m_endpoints[number % m_endpoints.size()]->alive = true;
}

void world::stallTransfers(duration time)
{
    m_transfersStalledUntil = m_clock.now() + time;
}

void world::loseServiceAnswers(int count)
{
    m_serviceAnswersToLose = count;
}

} // namespace plantainpoint::fuzz
