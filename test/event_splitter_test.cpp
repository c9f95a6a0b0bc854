// splitting of event streams at any byte
#include <boost/test/unit_test.hpp>

#include "event_splitter.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(event_splitter_bytes)

// guards against bytes that are lost, doubled or passed on before their event is whole, wherever the reads end
BOOST_AUTO_TEST_CASE(everyCutGivesTheSameEvents)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 22\r\ndata: b\r\n\r\nx-note: 7\nid:3\ndata:\n\nid: 4\nda";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        event_splitter splitter;
        std::string whole;
        std::vector<std::uint64_t> ids;
        const auto take = [&](std::string_view event, std::optional<std::uint64_t> id) {
            whole += event;
            ids.push_back(id.value_or(0));
        };
        splitter.feed(stream.substr(0, cut), take);
        splitter.feed(stream.substr(cut), take);
        BOOST_TEST(whole + std::string(splitter.rest()) == stream);
        BOOST_TEST(splitter.rest() == "id: 4\nda");
        BOOST_TEST((ids == std::vector<std::uint64_t>{1, 22, 3}));
    }
}

// guards against an id that is no number being taken for one
BOOST_AUTO_TEST_CASE(strangeIdsAreNone)
{
    event_splitter splitter;
    bool none = false;
    splitter.feed("id: x\n\n", [&](std::string_view, std::optional<std::uint64_t> id) { none = !id; });
    BOOST_TEST(none);
}

BOOST_AUTO_TEST_SUITE_END()
