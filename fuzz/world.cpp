// Virtual time, VMs and callers of the simulated fleet.
#include "world_state.hpp"

namespace plantainpoint::fuzz {

world::world(world_settings settings, core_factory factory)
    : m_settings(settings)
    , m_factory(std::move(factory))
    , m_wallClock(m_clock)
    , m_random(settings.seed)
{
    m_clock.advance(seconds(100));
    const region_name region{"region"};
    const auto dataCentre = [](int number) { return data_centre_name{"dc-" + std::to_string(number)}; };
    for (int number = 0; number < settings.vms; ++number) {
        auto vm = std::make_unique<simulated_vm>();
        vm->number = number;
        vm->name.value = "vm-" + std::to_string(number);
        vm->dataCentreNumber = number % settings.dataCentres;
        vm->dataCentre = dataCentre(vm->dataCentreNumber);
        const double error = settings.skewClocks ? (number % 3 - 1) * 0.0005 : 0.0;
        vm->clock = std::make_unique<skewed_clock>(m_clock, error);
        m_vms.push_back(std::move(vm));
    }
    const auto addEndpoint = [&](const std::string &name, endpoint_role role) {
        auto endpoint = std::make_unique<simulated_endpoint>();
        const auto number = static_cast<int>(m_endpoints.size());
        endpoint->description.name.value = name;
        endpoint->description.address = addressOf(1, number);
        endpoint->description.dataCentre = dataCentre(number % settings.dataCentres);
        endpoint->description.region = region;
        endpoint->description.role = role;
        endpoint->description.slots = decodeSlots;
        if (role != endpoint_role::Plain) {
            endpoint->description.model.value = "model";
        }
        m_endpoints.push_back(std::move(endpoint));
    };
    for (int i = 0; i < settings.prefillWorkers; ++i) {
        addEndpoint("prefill-" + std::to_string(i), endpoint_role::Prefill);
    }
    for (int i = 0; i < settings.decodeWorkers; ++i) {
        addEndpoint("decode-" + std::to_string(i), endpoint_role::Decode);
    }
    for (int i = 0; i < settings.plainWorkers; ++i) {
        addEndpoint("plain-" + std::to_string(i), endpoint_role::Plain);
    }

    m_keyTexts = {"key-text-a1", "key-text-a2", "key-text-b1"};
    m_keyAccounts = {account_name{"a"}, account_name{"a"}, account_name{"b"}};
    m_assistant.name.value = "assistant";
    m_assistant.routes = {{"POST", "/v1/completions", route_kind::Model, route_access::Keyed, milliseconds(20'000)}};
    m_assistant.models = {{model_name{"model"}, "1", "", 32'000, 4'000, urgency::Interactive}};
    m_assistant.firstTokenTarget = milliseconds(5'000);
    m_assistant.accounts = {{account_name{"a"}, {5 * microTokensPerRequest, 8 * microTokensPerRequest}, 1000},
                            {account_name{"b"}, {2 * microTokensPerRequest, 3 * microTokensPerRequest}, 1000}};
    for (int i = 2; i < settings.accounts; ++i) {
        m_assistant.accounts.push_back({account_name{"account-" + std::to_string(i)}, {5 * microTokensPerRequest, 8 * microTokensPerRequest}, 1000});
        m_rota.clients.push_back(m_assistant.accounts.back().name);
    }
    for (std::size_t i = 0; i < m_keyTexts.size(); ++i) {
        m_assistant.keys.push_back({"key-" + std::to_string(i), digestOf(m_keyTexts[i]), m_keyAccounts[i]});
        m_oracle.addKey(m_keyTexts[i]);
        m_oracle.addKey(toHex(digestOf(m_keyTexts[i])));
    }
    m_rota.name.value = "rota";
    m_rota.routes = {{"GET", "/slots", route_kind::Lookup, route_access::Keyed, milliseconds(5'000)},
                     {"GET", "/open", route_kind::Lookup, route_access::Open, milliseconds(5'000)},
                     {"POST", "/bookings", route_kind::Booking, route_access::Keyed, milliseconds(5'000)}};
    m_rota.clients.insert(m_rota.clients.begin(), {account_name{"a"}, account_name{"b"}});
    for (const auto &endpoint : m_endpoints) {
        auto &service = endpoint->description.role == endpoint_role::Plain ? m_rota : m_assistant;
        service.endpoints.push_back(endpoint->description);
    }
}

world::~world() = default;

// Virtual time.

void world::scheduleAt(time_point eventTime, action event)
{
    m_events.emplace(std::pair{std::max(eventTime, m_clock.now()), m_eventSequence++}, std::move(event));
}

duration world::jitter(duration minimum, duration maximum)
{
    return duration(std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(m_random));
}

bool world::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void world::run(duration time)
{
    const auto until = m_clock.now() + time;
    while (!m_events.empty() && m_events.begin()->first.first <= until) {
        auto node = m_events.extract(m_events.begin());
        m_clock.advanceTo(node.key().first);
        ++m_steps;
        node.mapped()();
    }
    m_clock.advanceTo(until);
    checkInvariants();
}

void world::checkInvariants()
{
    m_oracle.checkEngineMemory(m_clock.now());
    for (const auto &vm : m_vms) {
        if (!vm->alive || vm->pausedUntil > m_clock.now() || !vm->core->ready()) {
            continue;
        }
        const auto services = vm->core->status().at("configuration").at("services");
        for (const auto &service : {m_assistant.name, m_rota.name}) {
            const auto version = services.contains(service.value) ? services.at(service.value).at("version").get<std::uint64_t>() : 0;
            const bool reachesLog = logReachable(*vm) && m_logDownUntil <= m_clock.now();
            m_oracle.onApplied(vm->core->self(), service, version, reachesLog, m_clock.now());
        }
    }
}

bool world::start()
{
    publishAssistant();
    publishRota();
    for (int vmNumber = 0; vmNumber < m_settings.vms; ++vmNumber) {
        startVm(vmNumber);
    }
    for (int second = 0; second < 30; ++second) {
        run(seconds(1));
        if (std::all_of(m_vms.begin(), m_vms.end(), [](const auto &vm) { return vm->core->ready(); })) {
            run(seconds(3));
            return true;
        }
    }
    return false;
}

void world::settle()
{
    m_network = {};
    m_isolatedDataCentre.reset();
    m_logDownUntil = {};
    m_logDelay = {};
    m_transfersStalledUntil = {};
    m_appendAnswersToLose = 0;
    m_appendDelay = {};
    m_serviceAnswersToLose = 0;
    m_oracle.onFaultsEnded(m_clock.now());
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        restoreEndpoint(static_cast<int>(i));
    }
    for (int vmNumber = 0; vmNumber < m_settings.vms; ++vmNumber) {
        m_vms[vmNumber]->pausedUntil = {};
        if (!m_vms[vmNumber]->alive) {
            startVm(vmNumber);
        }
        drive(*m_vms[vmNumber]);
    }
    for (int second = 0; second < 45; ++second) {
        run(seconds(1));
    }
}

// VMs.

void world::startVm(int vmNumber)
{
    auto &vm = *m_vms[vmNumber];
    if (vm.alive) {
        return;
    }
    vm.alive = true;
    vm.stopping = false;
    ++vm.startNumber;
    vm.closedAttempts.clear();
    vm.backlog.clear();
    vm.pausedUntil = {};
    vm.firstIncarnation = vm.startNumber * incarnationsPerStart;
    vm_settings settings;
    settings.self = {vm.name, vm.firstIncarnation};
    settings.dataCentre = vm.dataCentre;
    settings.region.value = "region";
    settings.peerAddress = vm.address();
    settings.seed = m_random();
    vm.core = m_factory(settings, *vm.clock, m_wallClock);
    scheduleAfter(vmListDelay, [this, &vm, startNumber = vm.startNumber] { vm.listed = vm.listed || (vm.alive && vm.startNumber == startNumber); });
    // The seed peers of the VM settings.
    const auto startNumber = vm.startNumber;
    vm_list seeds;
    for (const auto &seed : m_vms) {
        seeds.vms.push_back({seed->name, seed->address(), seed->dataCentre, vm_condition::Live});
    }
    scheduleAfter(milliseconds(1), [this, &vm, startNumber, seeds] { deliver(vm, startNumber, seeds); });
}

void world::killVm(int vmNumber)
{
    auto &vm = *m_vms[vmNumber];
    if (!vm.alive) {
        return;
    }
    vm.alive = false;
    vm.core.reset();
    vm.tickAt = time_point::max();
    scheduleAfter(vmListDelay, [&vm] { vm.listed = vm.alive; });
    for (const auto &[caller, number] : m_callerVms) {
        if (number == vmNumber) {
            m_oracle.onCallerDisconnected(caller, m_clock.now(), true);
        }
    }
}

void world::pauseVm(int vmNumber, duration time)
{
    auto &vm = *m_vms[vmNumber];
    if (!vm.alive) {
        return;
    }
    vm.pausedUntil = std::max(vm.pausedUntil, m_clock.now() + time);
    scheduleAt(vm.pausedUntil, [this, &vm] { drive(vm); });
}

void world::shutDownVm(int vmNumber)
{
    auto &vm = *m_vms[vmNumber];
    if (!vm.alive || vm.stopping) {
        return;
    }
    vm.stopping = true;
    deliver(vm, vm.startNumber, shutdown_requested{});
}

void world::deliver(simulated_vm &vm, std::uint64_t startNumber, input message)
{
    if (!vm.alive || vm.startNumber != startNumber) {
        return;
    }
    vm.backlog.push_back(std::move(message));
    drive(vm);
}

void world::drive(simulated_vm &vm)
{
    if (!vm.alive || vm.pausedUntil > m_clock.now()) {
        return;
    }
    const auto startNumber = vm.startNumber;
    const auto begin = m_settings.measure ? processorTime() : std::chrono::nanoseconds{};
    auto messages = std::exchange(vm.backlog, {});
    for (auto &message : messages) {
        vm.core->handle(std::move(message));
    }
    vm.core->tick();
    auto commands = vm.core->take();
    if (m_settings.measure) {
        m_traffic.processorTime += processorTime() - begin;
    }
    for (auto &value : commands) {
        if (!vm.alive || vm.startNumber != startNumber) {
            return;
        }
        execute(vm, std::move(value));
    }
    if (vm.alive) {
        scheduleTick(vm);
    }
}

void world::scheduleTick(simulated_vm &vm)
{
    const auto tickTime = std::max(vm.clock->toGlobal(vm.core->nextTick()) + std::chrono::microseconds(1), m_clock.now() + std::chrono::microseconds(100));
    if (vm.tickAt <= tickTime && vm.tickAt > m_clock.now()) {
        return;
    }
    vm.tickAt = tickTime;
    scheduleAt(tickTime, [this, &vm, startNumber = vm.startNumber, tickTime] {
        if (vm.startNumber == startNumber && vm.tickAt == tickTime) {
            vm.tickAt = time_point::max();
            drive(vm);
        }
    });
}

void world::execute(simulated_vm &vm, command &&value)
{
    std::visit([&](const auto &alternative) { execute(vm, alternative); }, value);
}

world::simulated_vm *world::findVm(const vm_name &name)
{
    const auto it = std::find_if(m_vms.begin(), m_vms.end(), [&](const auto &vm) { return vm->name == name; });
    return it == m_vms.end() ? nullptr : it->get();
}

void world::execute(simulated_vm &vm, const stopped &)
{
    m_oracle.onStopped(vm.name, m_clock.now());
    // Callers that are still connected lose their connection when the process ends.
    scheduleAfter(duration{}, [this, number = vm.number, startNumber = vm.startNumber] {
        if (m_vms[number]->startNumber == startNumber) {
            killVm(number);
        }
    });
}

// Callers.

void world::call(call_kind kind, int key, int vmNumber, int idempotency, std::int32_t tokens)
{
    auto &vm = *m_vms[vmNumber];
    if (!vm.alive || vm.stopping) {
        return; // The load balancer sends no requests to such a VM.
    }
    call_record record;
    record.id = m_nextCaller++;
    record.kind = kind;
    record.key = kind == call_kind::OpenLookup ? -1 : key;
    record.vm = vm.name;
    record.sentAt = m_clock.now();
    if (record.key >= 0) {
        record.account = m_keyAccounts[key];
    }
    caller_request request;
    request.caller = record.id;
    if (record.key >= 0) {
        request.key = digestOf(m_keyTexts[key]);
    }
    request.method = kind == call_kind::Lookup || kind == call_kind::OpenLookup ? "GET" : "POST";
    request.body = std::to_string(record.id);
    switch (kind) {
    case call_kind::Completion:
        request.path = "/v1/completions";
        record.prompt = "prompt of caller " + std::to_string(record.id);
        record.requestedTokens = tokens;
        request.completion = completion_call{model_name{"model"}, record.prompt, 500 + 10 * tokens, tokens, true, false};
        break;
    case call_kind::Lookup:
        request.path = "/slots";
        break;
    case call_kind::OpenLookup:
        request.path = "/open";
        break;
    case call_kind::Booking:
        request.path = "/bookings";
        break;
    case call_kind::KeyedBooking:
        request.path = "/bookings";
        record.idempotencyKey = "booking-" + std::to_string(idempotency);
        request.idempotencyKey = record.idempotencyKey;
        request.body = record.idempotencyKey;
        break;
    }
    m_callerVms[record.id] = vmNumber;
    m_oracle.onCall(record);
    deliver(vm, vm.startNumber, std::move(request));
}

void world::disconnectCaller(std::size_t index)
{
    const auto &calls = m_oracle.calls();
    const auto it = calls.find(index);
    if (it == calls.end() || it->second.disconnectedAt || it->second.terminalAnswers > 0) {
        return;
    }
    m_oracle.onCallerDisconnected(index, m_clock.now(), false);
    auto &vm = *m_vms[m_callerVms[index]];
    deliver(vm, vm.startNumber, caller_disconnected{index});
}

void world::execute(simulated_vm &, const request_admitted &value)
{
    m_oracle.onAdmitted(value, m_clock.now());
}

void world::execute(simulated_vm &, const request_relabelled &value)
{
    m_oracle.onRelabelled(value);
}

void world::execute(simulated_vm &, const answer_plain &value)
{
    m_oracle.onPlainAnswer(value, m_clock.now());
}

void world::execute(simulated_vm &vm, const answer_token &value)
{
    m_oracle.onToken(value, !logReachable(vm), m_clock.now());
}

void world::execute(simulated_vm &, const answer_done &value)
{
    m_oracle.onAnswerDone(value, m_clock.now());
}

void world::execute(simulated_vm &, const answer_failure &value)
{
    m_oracle.onAnswerFailure(value, m_clock.now());
}

} // namespace plantainpoint::fuzz
