/** @file foreign_entry_test.cpp An odd entry of another writer hides no other entry of the store. */
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "platform/object_decoder.h"
#include "json/json_slice.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

std::string deeply_nested(std::size_t depth) {
    return R"({"service":"ledger","slots":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

std::string good_spec(const std::string& changed = R"("slots":4)") {
    std::string spec =
        R"({"service":"ledger","address":"127.0.0.1:9000","zone":"z","lifecycle-state":"ready",)"
        R"("born":1700000000000,"slots":4})";
    const std::string member = changed.substr(0, changed.find(':'));
    const auto from = spec.find(member);
    const auto to = spec.find_first_of(",}", spec.find(member) + member.size());
    return spec.replace(from, to - from, changed);
}

std::string object(const std::string& name, const std::string& spec) {
    return R"({"meta":{"name":")" + name + R"(","revision":7},"status":{},"spec":)" + spec + "}";
}

/** Contents that name no server to use. */
std::vector<std::string> odd_specs() {
    return {deeply_nested(250),
            deeply_nested(500'000),
            good_spec(R"("address":"127.0.0.1:65536")"),
            good_spec(R"("address":"127.0.0.1:99999999999999999999")"),
            good_spec(R"("address":"127.0.0.1:0")"),
            good_spec(R"("address":"127.0.0.1:-1")"),
            good_spec(R"("slots":99999999999999999999999999)"),
            good_spec(R"("slots":1e400)"),
            good_spec(R"("slots":65536)"),
            good_spec(R"("slots":-1)"),
            good_spec(R"("slots":0)"),
            good_spec(R"("slots":"4")"),
            good_spec(R"("lifecycle-state":"sleeping")"),
            good_spec(R"("service":7)"),
            good_spec(R"("service":")" + std::string(100'000, 's') + "\""),
            R"({"service":"cut \ud83d","lifecycle-state":"ready"})",
            R"({"service":"\u0000","address":"\udc00"})",
            "\"text\"",
            "17",
            "null",
            "[]",
            "{nonsense]}",
            "tru",
            "{\"service\":\"\xff\xfe\"}"};
}

/** Contents that are no JSON, although the parser of a library accepts some of them. */
std::vector<std::string> specs_not_json() {
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    std::vector<std::string> specs;
    for (const char* before :
         {R"(/* " */)", R"(/* " */ /* " */)", "/* ' */", "// \"\n", "/* ] */", "/* } */", "'\"',", "'\"':1,",
          R"("":'",')", "\"\x01\":1,", "'", "\"", "}", "]", "]}", R"(,{"meta":)"}) {
        specs.push_back("{" + std::string{before} + R"("notes":)" + deep + "}");
        specs.push_back("{" + std::string{before} + R"("notes":)" + deep + before + "}");
        specs.push_back("{" + std::string{before} + R"("notes":1)" + before + "}");
        specs.push_back("[" + std::string{before} + deep);
    }
    specs.push_back(good_spec() + "/* */");
    specs.push_back(good_spec() + "1");
    specs.emplace_back();
    return specs;
}

/** Objects that can't be matched to an entry. */
std::vector<std::string> unidentified_objects() {
    return {R"({"meta":{"revision":7},"spec":{}})",
            R"({"meta":{"name":"n","revision":99999999999999999999},"spec":{}})",
            R"({"meta":{"name":"n","revision":-1},"spec":{}})",
            R"({"meta":)" + deeply_nested(300) + "}",
            "{}",
            "null",
            "[[[]]]"};
}

std::string page_of(const std::vector<std::string>& objects) {
    std::string items;
    for (const std::string& it : objects)
        items += (items.empty() ? "" : ", ") + it;
    return R"({"items": [)" + items + R"(], "has-more": false, "store-revision": 9})";
}

std::string changes_of(const std::vector<std::string>& objects) {
    std::string events;
    for (const std::string& it : objects)
        events += std::string{events.empty() ? "" : ","} + R"({"deleted":false,"object":)" + it + "}";
    return R"({"events":[)" + events + R"(],"store-revision":9})";
}

bool names_server(const stored_object& it) {
    return std::holds_alternative<server_entry>(it.content);
}

} // namespace

// DRAIN, LOST: one such entry hid all later changes of the servers, and a starting node never became ready.
TEST_CASE("an entry of another writer that cannot be read hides no other entry of a list or of changes") {
    for (const std::string& spec : odd_specs()) {
        CAPTURE(spec.substr(0, 100));
        const std::vector<std::string> objects{object("a", good_spec()), object("odd", spec),
                                               object("z", good_spec())};
        const auto page = decode_page(object_kind::servers, page_of(objects), 1);
        REQUIRE(page);
        REQUIRE(page->list.objects.size() == 3);
        CHECK(page->last_name == "z");
        CHECK(names_server(page->list.objects[0]));
        CHECK(page->list.objects[1].name == "odd");
        CHECK_FALSE(names_server(page->list.objects[1]));
        CHECK(names_server(page->list.objects[2]));
        const auto changes = decode_changes(object_kind::servers, changes_of(objects), 1);
        REQUIRE(changes);
        REQUIRE(changes->changes.size() == 3);
        CHECK(names_server(changes->changes[0].object));
        CHECK_FALSE(names_server(changes->changes[1].object));
        CHECK(names_server(changes->changes[2].object));
    }
}

// Fault: a list nested 200,000 deep behind a comment exhausted the parser's stack and ended every node.
TEST_CASE(
    "an entry that is no JSON, but that a lenient parser accepts, ends no node and hides no other entry") {
    for (const std::string& spec : specs_not_json()) {
        CAPTURE(spec.substr(0, 40));
        CAPTURE(spec.substr(spec.size() - std::min<std::size_t>(spec.size(), 20)));
        CHECK_FALSE(json_document::parse(spec, platform_json_limits));
        CHECK_FALSE(routes_version(spec));
        for (const std::size_t place : {std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
            std::vector<std::string> objects{object("a", good_spec()), object("z", good_spec())};
            objects.insert(objects.begin() + static_cast<std::ptrdiff_t>(place), object("odd", spec));
            const auto page = decode_page(object_kind::servers, page_of(objects), 1);
            REQUIRE(page);
            REQUIRE(page->list.objects.size() == 3);
            CHECK(page->list.objects[place].name == "odd");
            for (std::size_t n = 0; n < 3; ++n)
                CHECK(names_server(page->list.objects[n]) == (n != place));
            const auto changes = decode_changes(object_kind::servers, changes_of(objects), 1);
            REQUIRE(changes);
            REQUIRE(changes->changes.size() == 3);
            for (std::size_t n = 0; n < 3; ++n)
                CHECK(names_server(changes->changes[n].object) == (n != place));
        }
        CHECK_FALSE(
            decode_object(object_kind::order_claim, object("odd", "{" + spec), 1)
                .map([](const stored_object& it) { return std::holds_alternative<std::string>(it.content); })
                .value_or(false));
    }
}

// Fault: values take memory, so an entry of a million of them is not read at all.
TEST_CASE("an entry with very many values names no server, and the others hold") {
    std::string values = "[0";
    for (int n = 0; n < 400'000; ++n)
        values += ",0";
    const std::string spec = R"({"notes":)" + values + "]," + good_spec().substr(1);
    const auto page =
        decode_page(object_kind::servers, page_of({object("odd", spec), object("z", good_spec())}), 1);
    REQUIRE(page);
    REQUIRE(page->list.objects.size() == 2);
    CHECK_FALSE(names_server(page->list.objects[0]));
    CHECK(names_server(page->list.objects[1]));
}

// Fault: finding the next entry behind an odd one must not take time that grows with the square of the size.
TEST_CASE("an odd entry that begins like an entry at every place is read in bounded time") {
    std::string spec = "{";
    while (spec.size() < 300'000)
        spec += R"(,{"meta":[0)";
    const auto began = std::chrono::steady_clock::now();
    const auto page =
        decode_page(object_kind::servers, page_of({object("odd", spec), object("z", good_spec())}), 1);
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds{2});
    REQUIRE(page);
    CHECK(page->list.objects.size() == 2);
    CHECK(names_server(page->list.objects.back()));
}

TEST_CASE("an object without a readable name or revision is left out and counted, the others hold") {
    for (const std::string& odd : unidentified_objects()) {
        CAPTURE(odd.substr(0, 100));
        const std::vector<std::string> objects{object("a", good_spec()), odd, object("z", good_spec())};
        const auto page = decode_page(object_kind::servers, page_of(objects), 1);
        REQUIRE(page);
        CHECK(page->list.objects.size() == 2);
        CHECK(page->unidentified == 1);
        const auto changes = decode_changes(object_kind::servers, changes_of(objects), 1);
        REQUIRE(changes);
        CHECK(changes->changes.size() == 2);
        CHECK(changes->unidentified == 1);
    }
}

TEST_CASE("odd members that nobody reads leave an entry usable, also a start far ahead") {
    const std::string odd = object("a", good_spec(R"("born":9223372036854775807)"));
    const std::vector<std::string> objects{
        R"({"status":{"x":)" + deeply_nested(400) + R"(},"meta":{"name":"b","revision":8},"spec":)" +
            good_spec() + "}",
        object("c", R"({"note":"cut \ud83d",)" + good_spec().substr(1)), odd};
    const auto page = decode_page(object_kind::servers, page_of(objects), 1);
    REQUIRE(page);
    REQUIRE(page->list.objects.size() == 3);
    for (const stored_object& it : page->list.objects)
        CHECK(names_server(it));
}

TEST_CASE("a reply that is cut or no object is malformed as a whole, at every byte") {
    const std::string page = page_of({object("a", good_spec())});
    const std::string changes = changes_of({object("a", good_spec())});
    for (std::size_t n = 0; n < page.size(); ++n)
        CHECK_FALSE(decode_page(object_kind::servers, page.substr(0, n), 1));
    for (std::size_t n = 0; n < changes.size(); ++n)
        CHECK_FALSE(decode_changes(object_kind::servers, changes.substr(0, n), 1));
}

TEST_CASE("half of a UTF-16 pair is replaced, whole pairs and escaped backslashes are kept") {
    CHECK(with_whole_surrogates(R"(a \ud83d b)") == R"(a \ufffd b)");
    CHECK(with_whole_surrogates(R"(\udc00\ud83d)") == R"(\ufffd\ufffd)");
    CHECK(with_whole_surrogates(R"(\ud83d\ude00)") == R"(\ud83d\ude00)");
    CHECK(with_whole_surrogates(R"(\\ud83d)") == R"(\\ud83d)");
    CHECK(with_whole_surrogates(R"(\u00e9\n\u12)") == R"(\u00e9\n\u12)");
}

} // namespace pollengrade
