// Tests that service files become configuration and that all their errors are reported together, with file, line and key.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>

#include "service_files.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(service_file_reading)

namespace {

struct folder_fixture {
    std::filesystem::path root = std::filesystem::temp_directory_path() / ("plantainpoint-files-" + std::to_string(std::random_device{}()));

    folder_fixture()
    {
        write("desk/service.yaml", R"(name: desk
fairness: 0.8
first_token: 900ms
routes:
  - method: GET
    path: /slots/*
    kind: lookup
    deadline: 2s
endpoints:
  - name: desk-1
    address: 127.0.0.1:9000
    data_centre: dc-a
    region: reykjanes
    link: 2.5GB/s
)");
        write("desk/accounts.yaml", "accounts:\n  - name: crew\n    rate: 20/s\n    burst: 40\n");
        write("desk/keys.yaml", "keys:\n  - id: k1\n    account: crew\n    key: plain-secret\n  - id: k2\n    account: crew\n    file: k2.key\n");
        write("desk/k2.key", "file-secret\n");
    }
    ~folder_fixture() { std::filesystem::remove_all(root); }

    void write(const std::string &name, const std::string &text) const
    {
        std::filesystem::create_directories((root / name).parent_path());
        std::ofstream(root / name) << text;
    }

    service_files load(const std::vector<std::string> &names = {"desk"}) const
    {
        std::vector<std::string> folders;
        for (const auto &name : names) {
            folders.push_back((root / name).string());
        }
        return loadServiceFiles(folders);
    }

    // Returns each problem as "LINE KEY".
    std::vector<std::string> problems(const std::vector<std::string> &names = {"desk"}) const
    {
        std::vector<std::string> found;
        for (const auto &problem : load(names).problems) {
            found.push_back(std::to_string(problem.line) + " " + problem.key);
        }
        return found;
    }
};

} // namespace

// Guards against a value that is read in the wrong unit, and against a key that is published in plain text instead of as its digest.
BOOST_FIXTURE_TEST_CASE(filesBecomeConfiguration, folder_fixture)
{
    const auto files = load();
    BOOST_REQUIRE_MESSAGE(files.problems.empty(), toString(files.problems.empty() ? file_problem{} : files.problems[0]));
    const auto &service = files.services.at(0);
    BOOST_TEST(service.firstTokenTarget.count() == 900);
    BOOST_TEST(service.routes.at(0).deadline.count() == 2000);
    BOOST_TEST(service.endpoints.at(0).linkBytesPerSecond == 2'500'000'000);
    BOOST_TEST(service.accounts.at(0).limit.rate == 20 * microTokensPerRequest);
    BOOST_TEST(service.accounts.at(0).limit.burst == 40 * microTokensPerRequest);
    BOOST_TEST((service.keys.at(0).digest == digestOf("plain-secret")));
    BOOST_TEST((service.keys.at(1).digest == digestOf("file-secret")));
}

// Guards against a reader that stops at the first error, so that operators can only correct one error at a time.
BOOST_FIXTURE_TEST_CASE(allProblemsAreReportedWithTheirLine, folder_fixture)
{
    write("desk/accounts.yaml", "accounts:\n  - name: crew\n    rate: 20\n    burst: 40 MB\n    colour: red\n");
    write("desk/service.yaml", "name: desk\nfirst_token: 900\nroutes:\n  - method: FETCH\n    path: slots\n    kind: other\n");
    const auto found = problems();
    for (const auto *expected :
         {"3 accounts[0].rate", "4 accounts[0].burst", "5 accounts[0].colour", "2 first_token", "4 routes[0].method", "5 routes[0].path", "6 routes[0].kind"}) {
        BOOST_TEST((std::count(found.begin(), found.end(), expected) == 1), expected);
    }
    BOOST_TEST(found.size() == 7U);
}

// Guards against an error text that reveals a key.
BOOST_FIXTURE_TEST_CASE(problemsDoNotRevealKeys, folder_fixture)
{
    write("desk/keys.yaml", "keys:\n  - id: k1\n    account: nobody\n    key: plain-secret\n  - id: k2\n    account: crew\n    digest: plain-secret\n");
    const auto files = load();
    BOOST_TEST(files.problems.size() == 2U);
    for (const auto &problem : files.problems) {
        BOOST_TEST(toString(problem).find("plain-secret") == std::string::npos);
    }
}

// Guards against exceptions and unreported errors for files that are missing, not valid YAML or not a mapping.
BOOST_FIXTURE_TEST_CASE(unreadableFilesAreReportedAsProblems, folder_fixture)
{
    write("broken/service.yaml", "name: [\n");
    write("list/service.yaml", "- a\n");
    for (const auto *name : {"broken", "list", "absent"}) {
        BOOST_TEST(!problems({name}).empty(), name);
    }
}

// Guards against two services that are each valid but that every reader refuses in combination.
BOOST_FIXTURE_TEST_CASE(servicesAreCheckedTogether, folder_fixture)
{
    write("other/service.yaml", "name: other\n");
    write("other/accounts.yaml", "accounts:\n  - name: crew\n    rate: 1/s\n    burst: 1\n");
    const auto files = load({"desk", "other"});
    BOOST_REQUIRE(files.problems.size() == 1U);
    BOOST_TEST(files.problems[0].text == "account crew is defined by service desk");
}

BOOST_AUTO_TEST_SUITE_END()
