// Tests the validation of the configuration and its JSON form.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <functional>

#include "plantainpoint/config.hpp"
#include "plantainpoint/failure.hpp"
#include "sample_config.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(config)

// Guards against keys that are compared by a digest other than SHA-256, or whose digests are compared or parsed wrongly.
BOOST_AUTO_TEST_CASE(digestsAreSha256)
{
    const auto digest = digestOf("abc");
    BOOST_TEST(toHex(digest) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST((*parseDigest(toHex(digest)) == digest));
    BOOST_TEST(equalInConstantTime(digest, digestOf("abc")));
    BOOST_TEST(!equalInConstantTime(digest, digestOf("abd")));
    BOOST_TEST(!parseDigest("zz").ok());
    BOOST_TEST(!parseDigest(std::string(64, 'g')).ok());
}

// Guards against a field that is lost between the publisher and the readers of the configuration.
BOOST_AUTO_TEST_CASE(servicesRoundTrip)
{
    auto service = sample::service("desk");
    service.models.push_back({model_name{"org/press-7b:1"}, "v1", "", 1000, 100, urgency::Batch});
    service.endpoints.push_back(sample::plainEndpoint("p1"));
    service.endpoints.back().role = endpoint_role::Prefill;
    service.endpoints.back().model = model_name{"org/press-7b:1"};
    service.clients.push_back(account_name{"elsewhere"});
    service.fairness = 0.8;
    nlohmann::json out;
    toJson(out, service);
    const auto decoded = serviceFromJson(nlohmann::json::parse(out.dump()));
    BOOST_REQUIRE_MESSAGE(decoded.ok(), decoded.status().ToString());
    BOOST_TEST((*decoded == service));
}

// Guards against a value that passes validation and then stops or overloads a service.
BOOST_AUTO_TEST_CASE(problemsNameTheirField)
{
    using change = std::function<void(service_config &)>;
    const std::vector<std::pair<std::string, change>> cases{
        {"name", [](auto &s) { s.name.value = "a/b"; }},
        {"fairness", [](auto &s) { s.fairness = 1.5; }},
        {"first_token_target_ms", [](auto &s) { s.firstTokenTarget = {}; }},
        {"routes[0].method", [](auto &s) { s.routes[0].method = "get"; }},
        {"routes[0].path", [](auto &s) { s.routes[0].path = "/a*b"; }},
        {"routes[1].path", [](auto &s) { s.routes[1] = s.routes[0]; }},
        {"routes[0].deadline_ms", [](auto &s) { s.routes[0].deadline = {}; }},
        {"endpoints[0].address", [](auto &s) { s.endpoints[0].address = "host:80"; }},
        {"endpoints[0].address", [](auto &s) { s.endpoints[0].address = "127.0.0.1:70000"; }},
        {"endpoints[0].model", [](auto &s) { s.endpoints[0].role = endpoint_role::Decode; }},
        {"endpoints[0].slots", [](auto &s) { s.endpoints[0].slots = 0; }},
        {"accounts[0].limit.rate", [](auto &s) { s.accounts[0].limit.rate = -1; }},
        {"accounts[0].limit.burst", [](auto &s) { s.accounts[0].limit.burst = 1; }},
        {"accounts[1].name", [](auto &s) { s.accounts.push_back(s.accounts[0]); }},
        {"keys[0].account", [](auto &s) { s.keys[0].account.value = "elsewhere"; }},
        {"keys[1].digest",
         [](auto &s) {
             s.keys.push_back({"other", s.keys[0].digest, s.keys[0].account});
         }},
    };
    BOOST_TEST(findProblems(sample::service("desk")).empty());
    for (const auto &[field, apply] : cases) {
        auto service = sample::service("desk");
        apply(service);
        const auto problems = findProblems(service);
        BOOST_REQUIRE_MESSAGE(problems.size() == 1, field);
        BOOST_TEST(problems.front().field == field);
        BOOST_TEST((failureOf(validate(service)) == failure::InvalidConfiguration));
    }
}

// Guards against JSON that is accepted although a field is missing, mistyped or unknown.
BOOST_AUTO_TEST_CASE(invalidJsonIsRefused)
{
    nlohmann::json valid;
    toJson(valid, sample::service("desk"));
    for (const auto &item : valid.items()) {
        auto missing = valid;
        missing.erase(item.key());
        BOOST_TEST((failureOf(serviceFromJson(missing).status()) == failure::InvalidConfiguration), item.key());
        auto mistyped = valid;
        mistyped[item.key()] = nullptr;
        BOOST_TEST((failureOf(serviceFromJson(mistyped).status()) == failure::InvalidConfiguration), item.key());
    }
    valid["extra"] = 1;
    BOOST_TEST(std::string(serviceFromJson(valid).status().message()) == "extra is unknown");
}

BOOST_AUTO_TEST_SUITE_END()
