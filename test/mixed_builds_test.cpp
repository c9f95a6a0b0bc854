// Tests the messages between VMs of the build of commit 09587c2 ("old build") and of this one, which run side by side while VMs are replaced.
#include <algorithm>
#include <string>
#include <vector>

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fleet_codec.hpp"

using namespace plantainpoint;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t summaryPrefix = 17; // Kind, incarnation of the receiver and acknowledged message.

// Type that the old build expects of an element. It throws on another one, and the whole message is lost.
struct rule {
    enum class type : std::uint8_t {
        Whole, // An integer.
        Number,
        Text,
        Flag,
        List, // Of elements of the type parts[0].
        Tuple, // Array with one element for each of `parts`. Those from `required` on may be absent, and further elements are ignored.
    };

    type kind = type::Whole;
    std::vector<rule> parts;
    std::size_t required = 0;
};

const rule whole{rule::type::Whole, {}, 0};
const rule number{rule::type::Number, {}, 0};
const rule text{rule::type::Text, {}, 0};
const rule flag{rule::type::Flag, {}, 0};

rule listOf(rule element)
{
    return {rule::type::List, {std::move(element)}, 0};
}

rule tuple(std::vector<rule> required, const std::vector<rule> &optional = {})
{
    const auto count = required.size();
    required.insert(required.end(), optional.begin(), optional.end());
    return {rule::type::Tuple, std::move(required), count};
}

// The rules are a copy of what the old build reads. They do not change with the message format of this build.
const rule oldKnowledge = tuple({whole, whole, whole, whole, whole, whole}, {whole});
const rule oldMember = tuple({text, text, text, whole});
const rule oldLoad = tuple({text, whole, whole, whole});
const rule oldWaiting = tuple({text, whole});
const rule oldUsage = tuple({text, number, number});
const rule oldLeaving = tuple({text, whole});
const rule oldTotals = tuple({listOf(oldLoad), listOf(oldWaiting), listOf(text), listOf(oldUsage)}, {listOf(oldLeaving)});
const rule oldCrash = tuple({text, whole, whole, listOf(listOf(text))});
const rule oldQuarantined = tuple({listOf(text), whole, whole, whole, flag});
const rule oldEvidence = tuple({listOf(oldCrash), listOf(tuple({text, whole})), listOf(oldQuarantined)}, {whole});
const rule oldLimit = tuple({text, number, whole, whole});
const rule oldDefaults = tuple({whole, listOf(tuple({text, text}))});
const rule oldOutcomes = listOf(tuple({text, whole, whole}));
const rule oldHeartbeat = tuple({whole, oldMember, whole, whole, flag, text, oldKnowledge, oldTotals, oldOutcomes}, {oldEvidence, listOf(oldLimit)});
const rule oldSummary = tuple({whole, oldMember, whole, whole, flag, flag, oldKnowledge, oldTotals, whole, whole, text, whole, whole, listOf(oldMember), flag},
                              {oldEvidence, listOf(oldLimit), oldDefaults});
const rule oldAsk = tuple(
    {whole, text, whole, text, whole, whole, flag, text, listOf(whole), flag, whole, whole, whole, whole, whole, whole, listOf(text), whole, text, number},
    {flag, text});
const rule oldGrant = tuple({whole, text, whole, whole, whole, whole, text, text, whole});

bool hasType(const rule &expected, const json &in)
{
    switch (expected.kind) {
    case rule::type::Whole:
        return in.is_number_integer();
    case rule::type::Number:
        return in.is_number();
    case rule::type::Text:
        return in.is_string();
    case rule::type::Flag:
        return in.is_boolean();
    case rule::type::List:
        return in.is_array();
    case rule::type::Tuple:
        return in.is_array() && in.size() >= expected.required;
    }
    return false;
}

// Returns where the old build finds another type than it expects, or an empty text.
std::string findBreach(const rule &expected, const json &in, const std::string &path = "message")
{
    if (!hasType(expected, in)) {
        return path + ": " + in.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    const bool isList = expected.kind == rule::type::List;
    const auto count = isList ? in.size() : std::min(in.is_array() ? in.size() : 0, expected.parts.size());
    for (std::size_t i = 0; i < count; ++i) {
        if (auto breach = findBreach(expected.parts[isList ? 0 : i], in[i], path + '[' + std::to_string(i) + ']'); !breach.empty()) {
            return breach;
        }
    }
    return {};
}

// Returns the message without the elements that the old build ignores.
json cutToKnown(const rule &expected, const json &in)
{
    if (!in.is_array()) {
        return in;
    }
    const bool isList = expected.kind == rule::type::List;
    auto out = json::array();
    for (std::size_t i = 0; i < (isList ? in.size() : std::min(in.size(), expected.parts.size())); ++i) {
        out.push_back(cutToKnown(expected.parts[isList ? 0 : i], in[i]));
    }
    return out;
}

const rule &rulesFor(std::string_view bytes)
{
    switch (bytes.front()) {
    case 'H':
        return oldHeartbeat;
    case 'S':
        return oldSummary;
    case 'A':
        return oldAsk;
    default:
        return oldGrant;
    }
}

std::size_t prefixOf(std::string_view bytes)
{
    return bytes.front() == 'S' ? summaryPrefix : 1;
}

json documentOf(std::string_view bytes)
{
    return json::from_cbor(bytes.substr(prefixOf(bytes)));
}

std::string withDocument(std::string_view bytes, const json &document)
{
    std::string out(bytes.substr(0, prefixOf(bytes)));
    std::string body;
    json::to_cbor(document, body);
    return out + body;
}

std::string encodeWhole(const fleet_summary &summary)
{
    return encodeSummary(encodeSummaryBody(summary), summary.receiverIncarnation, summary.acknowledged);
}

std::string encode(const fleet_message &message)
{
    if (const auto *const heartbeatMessage = std::get_if<fleet_heartbeat>(&message)) {
        return encodeHeartbeat(*heartbeatMessage);
    }
    if (const auto *const summary = std::get_if<fleet_summary>(&message)) {
        return encodeWhole(*summary);
    }
    if (const auto *const ask = std::get_if<placement_ask>(&message)) {
        return encodeAsk(*ask);
    }
    return encodeGrant(std::get<placement_grant>(message));
}

const directory_knowledge knowledge{.configVersion = 7,
                                    .configSize = 2048,
                                    .endpointEntries = 3,
                                    .position = (std::uint64_t{1} << 40U) + 9,
                                    .lastChange = (std::uint64_t{1} << 40U) + 8,
                                    .proofAge = milliseconds{120},
                                    .reannounceLeft = milliseconds{400}};

const crash_report evidence{.crashes = {{{"desk-1"}, 1'700'000'000'000, milliseconds{30}, {{{"part:1"}, {"content:2"}}, {}}}},
                            .answered = {{{"part:3"}, milliseconds{40}}},
                            .quarantined = {{{{"part:1"}, {"part:4"}}, milliseconds{5000}, milliseconds{60}, 3, true}},
                            .digest = 0xfedcba98U};

// Every field that the old build knows has a value.
fleet_heartbeat fullHeartbeat()
{
    return {.from = {{"vm-1"}, 1'700'000'000'001},
            .sequence = 12,
            .address = "127.0.0.1:7000",
            .dataCentre = {"dc-a"},
            .capacity = 250,
            .leaving = true,
            .follows = {"vm-2"},
            .knowledge = knowledge,
            .loads = {{{"desk-1"}, 3, 0, 0, {}}, {{"engine-1"}, -1, 5200, 6000, {}}},
            .waiting = {{{"llm"}, 4}},
            .changingRole = {{"engine-2"}},
            .usage = {{{"t1"}, 1234.5, 99.25}, {{"t2"}, 8, -3}},
            .outcomes = {{{"desk-1"}, 20, 1}},
            .evidence = evidence,
            .limits = {{{"desk-1"}, 6.2, milliseconds{120}, {}}, {{"desk-2"}, 0.25, milliseconds{900}, milliseconds{40}}},
            .leavingEndpoints = {{{"desk-3"}, 1'700'000'000'002}}};
}

fleet_summary fullSummary()
{
    return {.from = {{"vm-2"}, 1'700'000'000'003},
            .sequence = 13,
            .address = "127.0.0.1:7001",
            .dataCentre = {"dc-a"},
            .capacity = 500,
            .scope = summary_scope::Fleet,
            .leaving = true,
            .settled = true,
            .knowledge = knowledge,
            .changesFrom = 5,
            .changes = std::make_shared<const std::string>("changes"),
            .heardVms = 6,
            .memberVms = 7,
            .candidates = {{{"vm-1"}, "127.0.0.1:7000", {"dc-a"}, 250}, {{"vm-3"}, "127.0.0.1:7002", {"dc-b"}, 1000}},
            .hasLoads = true,
            .loads = {{{"desk-1"}, 3, 0, 0, {}}, {{"engine-1"}, 2, 5200, 6000, {}}},
            .waiting = {{{"llm"}, 4}},
            .changingRole = {{"engine-2"}},
            .usage = {{{"t1"}, 1234.5, 99.25}},
            .evidence = evidence,
            .limits = {{{"desk-1"}, 6.2, milliseconds{120}, {}}},
            .leavingEndpoints = {{{"desk-3"}, 1'700'000'000'002}},
            .defaults = default_versions{{{{"llm"}, {"v1"}}, {{"desk"}, {""}}}, milliseconds{70}},
            .receiverIncarnation = 1'700'000'000'001,
            .acknowledged = 12};
}

placement_ask fullAsk()
{
    return {.from = {{"vm-1"}, 1'700'000'000'001},
            .address = "127.0.0.1:7000",
            .number = 77,
            .heartbeat = 12,
            .service = {"llm"},
            .tokens = token_count{5200, 70, 40},
            .mayPrefill = true,
            .priority = -2,
            .age = microseconds{1500},
            .objective = milliseconds{800},
            .timeLeft = milliseconds{1400},
            .maxEventGap = milliseconds{300},
            .holdTime = milliseconds{250},
            .excluded = {{"engine-1"}, {"engine-2"}},
            .seed = 0x123456789abcdefULL,
            .account = {"t1"},
            .units = 5270.5,
            .begun = true,
            .version = software_version{"v1.1"}};
}

placement_grant fullGrant()
{
    return {.from = {{"vm-2"}, 1'700'000'000'003},
            .receiverIncarnation = 1'700'000'000'001,
            .number = 77,
            .result = placement_result::LimitReached,
            .prefill = {"engine-3"},
            .serving = {"engine-4"},
            .expectedWait = microseconds{12'500}};
}

struct sample {
    const char *name;
    fleet_message message;
    const char *oldBytes; // What the old build sends for the message, in hexadecimal digits.
};

// Messages as the old build sends them: full ones, those of a VM that knows nothing yet, and those with an optional element before one that is absent.
std::vector<sample> oldSamples()
{
    const fleet_heartbeat firstHeartbeat{.from = {{"vm-1"}, 1}, .sequence = 1, .address = "127.0.0.1:7000", .dataCentre = {"dc-a"}};
    const fleet_summary firstSummary{.from = {{"vm-1"}, 1}, .sequence = 1, .address = "127.0.0.1:7000", .dataCentre = {"dc-a"}};
    auto limitsOnly = firstSummary;
    limitsOnly.limits = {{{"desk-1"}, 6.2, milliseconds{120}, {}}};
    auto defaultsOnly = firstSummary;
    defaultsOnly.defaults = default_versions{};
    const placement_ask plainAsk{.from = {{"vm-1"}, 1}, .address = "127.0.0.1:7000", .number = 1, .service = {"desk"}};
    auto unlikelyAsk = plainAsk;
    unlikelyAsk.tokens = token_count{5200, 70, {}};
    const placement_ask cancelled{.from = {{"vm-1"}, 1}, .address = "127.0.0.1:7000", .number = 1, .cancelled = true};
    const placement_grant queued{.from = {{"vm-2"}, 1}, .receiverIncarnation = 1, .number = 1, .result = placement_result::Queued};
    return {
        {"full heartbeat",
         fullHeartbeat(),
         "488b088464766d2d316e3132372e302e302e313a373030306464632d6118fa1b0000018bcfe568010cf564766d2d3287071908001b00000100000000"
         "091b0000010000000008190190031878858284666465736b2d310300008468656e67696e652d31201914501917708182636c6c6d048168656e67696e"
         "652d328283627431fa449a5000fa42c6800083627432fa41000000fac04000008182666465736b2d331b0000018bcfe568028183666465736b2d3114"
         "01848184666465736b2d311b0000018bcfe56800181e828266706172743a3169636f6e74656e743a3280818266706172743a33182881858266706172"
         "743a3166706172743a34191388183c03f51afedcba988284666465736b2d31fb4018cccccccccccd18782084666465736b2d32fa3e80000019038418"
         "28"},
        {"first heartbeat", firstHeartbeat, "488a088464766d2d316e3132372e302e302e313a373030306464632d61000101f4608600000000000084808080808083808080"},
        {"full summary",
         fullSummary(),
         "530000018bcfe56801000000000000000c92088464766d2d326e3132372e302e302e313a373030316464632d611901f41b0000018bcfe568030df5f5"
         "87071908001b00000100000000091b0000010000000008190190031878858284666465736b2d310300008468656e67696e652d310219145019177081"
         "82636c6c6d048168656e67696e652d328183627431fa449a5000fa42c680008182666465736b2d331b0000018bcfe568020205676368616e67657306"
         "07828464766d2d316e3132372e302e302e313a373030306464632d6118fa8464766d2d336e3132372e302e302e313a373030326464632d621903e8f5"
         "848184666465736b2d311b0000018bcfe56800181e828266706172743a3169636f6e74656e743a3280818266706172743a3318288185826670617274"
         "3a3166706172743a34191388183c03f51afedcba988184666465736b2d31fb4018cccccccccccd1878208218468282636c6c6d62763182646465736b"
         "60"},
        {"first summary",
         firstSummary,
         "530000000000000000000000000000000090088464766d2d316e3132372e302e302e313a373030306464632d61000101f4f486000000000000848080"
         "8080000060000080f483808080"},
        {"summary with limits",
         limitsOnly,
         "530000000000000000000000000000000091088464766d2d316e3132372e302e302e313a373030306464632d61000101f4f486000000000000848080"
         "8080000060000080f4838080808184666465736b2d31fb4018cccccccccccd187820"},
        {"summary with defaults",
         defaultsOnly,
         "530000000000000000000000000000000092088464766d2d316e3132372e302e302e313a373030306464632d61000101f4f486000000000000848080"
         "8080000060000080f48380808080820080"},
        {"full ask",
         fullAsk(),
         "41960864766d2d311b0000018bcfe568016e3132372e302e302e313a37303030184d0cf4636c6c6d8319145018461828f5211905dc1a000c35001a00"
         "155cc01a000493e01a0003d0908268656e67696e652d3168656e67696e652d321b0123456789abcdef627431fa45a4b400f56476312e31"},
        {"plain ask", plainAsk, "41950864766d2d31016e3132372e302e302e313a373030300100f4646465736b80f4050000000000800060fa00000000f4"},
        {"ask without a likely output",
         unlikelyAsk,
         "41950864766d2d31016e3132372e302e302e313a373030300100f4646465736b821914501846f4050000000000800060fa00000000f4"},
        {"cancelled ask", cancelled, "41950864766d2d31016e3132372e302e302e313a373030300100f56080f4050000000000800060fa00000000f4"},
        {"full grant", fullGrant(), "47890864766d2d321b0000018bcfe568031b0000018bcfe56801184d0368656e67696e652d3368656e67696e652d341930d4"},
        {"queued grant", queued, "47890864766d2d3201010101606000"},
    };
}

fleet_message withoutNewFields(fleet_message message)
{
    const auto clear = [](auto &each) {
        each.evacuations.clear();
        for (auto &load : each.loads) {
            load.workTimePercent.reset();
        }
    };
    if (auto *const heartbeatMessage = std::get_if<fleet_heartbeat>(&message)) {
        clear(*heartbeatMessage);
    } else if (auto *const summary = std::get_if<fleet_summary>(&message)) {
        clear(*summary);
    }
    return message;
}

// Messages with every combination of the fields that the old build does not know, in full messages and in those that leave out optional elements before
// the new ones.
std::vector<fleet_message> newMessages()
{
    const std::vector<evacuation> evacuations{{{"dc-a"}, true, (std::uint64_t{1} << 40U) + 3, milliseconds{700}}, {{"dc-b"}, false, 4, duration::max()}};
    std::vector<fleet_message> out;
    for (const bool evacuates : {false, true}) {
        for (const bool statesWorkTime : {false, true}) {
            for (const bool leaves : {false, true}) {
                const auto extend = [&](auto message) {
                    if (evacuates) {
                        message.evacuations = evacuations;
                    }
                    if (statesWorkTime) {
                        message.loads.front().workTimePercent = 250;
                    }
                    if (!leaves) {
                        message.leavingEndpoints.clear();
                    }
                    out.emplace_back(std::move(message));
                };
                extend(fullHeartbeat());
                extend(fullSummary());
                auto quietHeartbeat = fullHeartbeat();
                quietHeartbeat.limits.clear();
                quietHeartbeat.evidence = {};
                extend(quietHeartbeat);
                auto quietSummary = fullSummary();
                quietSummary.limits.clear();
                quietSummary.evidence = {};
                quietSummary.defaults.reset();
                extend(quietSummary);
            }
        }
    }
    out.emplace_back(fullAsk());
    out.emplace_back(fullGrant());
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(mixed_builds)

// Guards against a new decoder that rejects or misreads what the old build sends: all fields return when the decoded message is encoded again.
BOOST_AUTO_TEST_CASE(messagesOfTheOldBuildAreRead)
{
    for (const auto &[name, message, oldBytes] : oldSamples()) {
        const auto bytes = absl::HexStringToBytes(oldBytes);
        BOOST_REQUIRE_MESSAGE(!bytes.empty(), name << ": no bytes");
        const auto decoded = decodeFleetMessage(bytes);
        BOOST_REQUIRE_MESSAGE(decoded.ok(), name << ": " << decoded.status().ToString());
        BOOST_TEST(decoded->index() == message.index(), name);
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_TEST(absl::BytesToHexString(encode(*decoded)) == oldBytes);
        }
    }
}

// Guards against further bytes between VMs of a deployment that uses none of the new parts.
BOOST_AUTO_TEST_CASE(messagesWithoutNewPartsAreUnchanged)
{
    for (const auto &[name, message, oldBytes] : oldSamples()) {
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_TEST(absl::BytesToHexString(encode(message)) == oldBytes);
        }
    }
}

// Guards against a field that changes its type, its place or becomes null, so that the old build rejects the whole message.
BOOST_AUTO_TEST_CASE(theOldBuildReadsMessagesOfThisOne)
{
    for (const auto &message : newMessages()) {
        const auto bytes = encode(message);
        const auto document = documentOf(bytes);
        BOOST_TEST(document.at(0) == 8);
        BOOST_TEST(findBreach(rulesFor(bytes), document) == "");
    }
}

// Guards against a new element that changes how the elements before it are read, and against a decoder that requires it: the whole message, and one that is
// cut to what the old build knows, hold the same in the known fields.
BOOST_AUTO_TEST_CASE(messagesWithoutNewElementsAreRead)
{
    for (const auto &message : newMessages()) {
        const auto bytes = encode(message);
        const auto expected = absl::BytesToHexString(encode(withoutNewFields(message)));
        for (const auto &received : {bytes, withDocument(bytes, cutToKnown(rulesFor(bytes), documentOf(bytes)))}) {
            const auto decoded = decodeFleetMessage(received);
            BOOST_REQUIRE_MESSAGE(decoded.ok(), bytes.front() << ": " << decoded.status().ToString());
            BOOST_TEST(absl::BytesToHexString(encode(withoutNewFields(*decoded))) == expected);
        }
    }
}

// Guards against a decoder that rejects elements of a later build, which the next replacement of VMs brings. The messages have all elements that this
// build knows, so that the added one is unknown.
BOOST_AUTO_TEST_CASE(unknownElementsAreIgnored)
{
    for (const auto &message : newMessages()) {
        const auto bytes = encode(message);
        auto document = documentOf(bytes);
        if (document.size() < rulesFor(bytes).parts.size()) {
            continue; // An element behind the last one would be one that this build knows.
        }
        document.push_back("later");
        const auto decoded = decodeFleetMessage(withDocument(bytes, document));
        BOOST_TEST(decoded.ok(), bytes.front() << ": " << decoded.status().ToString());
    }
}

// Guards against rules of this test that accept everything: each known element of a message is needed with its type.
BOOST_AUTO_TEST_CASE(theRulesFindChangedElements)
{
    for (const auto &message : {fleet_message{fullHeartbeat()}, fleet_message{fullSummary()}, fleet_message{fullAsk()}, fleet_message{fullGrant()}}) {
        const auto bytes = encode(message);
        const auto document = documentOf(bytes);
        for (std::size_t i = 0; i < std::min(document.size(), rulesFor(bytes).parts.size()); ++i) {
            auto changed = document;
            changed[i] = nullptr;
            BOOST_TEST(findBreach(rulesFor(bytes), changed) != "", bytes.front() << " element " << i << " is null");
            changed[i] = json::object();
            BOOST_TEST(findBreach(rulesFor(bytes), changed) != "", bytes.front() << " element " << i << " is an object");
        }
        for (std::size_t size = 0; size < rulesFor(bytes).required; ++size) {
            auto shortened = document;
            shortened.erase(shortened.begin() + static_cast<std::ptrdiff_t>(size), shortened.end());
            BOOST_TEST(findBreach(rulesFor(bytes), shortened) != "", bytes.front() << " has " << size << " elements");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
