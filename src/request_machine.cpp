#include "request_machine.hpp"

#include <array>

#include "machine_support.hpp"

namespace plantainpoint {

namespace {

using received = stage_state<request_stage::Received>;
using authorising = stage_state<request_stage::Authorising>;
using awaiting_share = stage_state<request_stage::AwaitingShare>;
using queued = stage_state<request_stage::Queued>;
using prefilling = stage_state<request_stage::Prefilling>;
using decoding = stage_state<request_stage::Decoding>;
using forwarding = stage_state<request_stage::Forwarding>;
using claiming = stage_state<request_stage::Claiming>;
using answered = stage_state<request_stage::Answered>;
using refused = stage_state<request_stage::Refused>;

struct request_definition : staged_definition<request_definition, request_stage> {
    using initial_state = received;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        // From                    Event                               To
        transition<received,       request_event::parsed,              authorising>,
        transition<received,       request_event::failed,              refused>,

        transition<authorising,    request_event::share_requested,     awaiting_share>,
        transition<authorising,    request_event::placement_requested, queued>,
        transition<authorising,    request_event::forwarded,           forwarding>,
        transition<authorising,    request_event::claim_requested,     claiming>,
        transition<authorising,    request_event::failed,              refused>,

        transition<awaiting_share, request_event::placement_requested, queued>,
        transition<awaiting_share, request_event::forwarded,           forwarding>,
        transition<awaiting_share, request_event::claim_requested,     claiming>,
        transition<awaiting_share, request_event::failed,              refused>,

        transition<queued,         request_event::placed,              prefilling>,
        transition<queued,         request_event::failed,              refused>,
        transition<prefilling,     request_event::prefilled,           decoding>,
        transition<prefilling,     request_event::placement_requested, queued>,
        transition<prefilling,     request_event::failed,              refused>,
        transition<decoding,       request_event::placement_requested, queued>,
        transition<decoding,       request_event::finished,            answered>,
        transition<decoding,       request_event::failed,              refused>,

        transition<claiming,       request_event::forwarded,           forwarding>,
        transition<claiming,       request_event::finished,            answered>,
        transition<claiming,       request_event::failed,              refused>,
        transition<forwarding,     request_event::finished,            answered>,
        transition<forwarding,     request_event::failed,              refused>
    > {};
    // clang-format on
};

} // namespace

struct request_machine::machine : boost::msm::back::state_machine<request_definition> {
};

request_machine::request_machine()
    : m_machine(std::make_unique<machine>())
{
    m_machine->start();
}

request_machine::~request_machine() = default;
request_machine::request_machine(request_machine &&) noexcept = default;
request_machine &request_machine::operator=(request_machine &&) noexcept = default;

template<class Event>
bool request_machine::apply(const Event &event)
{
    return applyTo(*m_machine, event);
}

template bool request_machine::apply(const request_event::parsed &);
template bool request_machine::apply(const request_event::share_requested &);
template bool request_machine::apply(const request_event::placement_requested &);
template bool request_machine::apply(const request_event::placed &);
template bool request_machine::apply(const request_event::prefilled &);
template bool request_machine::apply(const request_event::forwarded &);
template bool request_machine::apply(const request_event::claim_requested &);
template bool request_machine::apply(const request_event::finished &);
template bool request_machine::apply(const request_event::failed &);

request_stage request_machine::stage() const
{
    return m_machine->stage;
}

std::string_view nameOf(request_stage stage)
{
    constexpr std::array<std::string_view, 10> names{
        "received", "authorising", "awaiting_share", "queued", "prefilling", "decoding", "forwarding", "claiming", "answered", "refused"};
    return names[static_cast<std::size_t>(stage)];
}

} // namespace plantainpoint
