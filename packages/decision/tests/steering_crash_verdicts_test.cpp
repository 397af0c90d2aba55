#include <catch2/catch.hpp>

#include <algorithm>

#include "camphorknot/steering/crash_verdicts.hpp"

using namespace camphorknot;
using namespace camphorknot::steering;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

suspect_key key_of(std::uint64_t request, const std::string& version = "v1")
{
    return {{request, request, request}, "desk", version};
}

// A run of which nothing is known but that the target ended.
ended_run unanswered_run_at(const std::string& target, duration sent, duration ended)
{
    return {target, 1, start + sent, start + ended};
}

// A run at a version that answers other requests.
ended_run run_at(const std::string& target, duration sent, duration ended)
{
    ended_run run = unanswered_run_at(target, sent, ended);
    run.version_answered_at = run.sent_at;
    return run;
}

bool is_condemned(const crash_table& table, const suspect_key& key, duration at)
{
    return standing_of(table, key, start + at) == crash_standing::condemned;
}

// The request ends one target after the other, a second each.
void end_targets(crash_table& table, const suspect_key& key, int count, const std::string& prefix = "t")
{
    for (int number = 0; number < count; ++number) {
        const auto sent = std::chrono::seconds(number);
        on_run_ended(table, key, run_at(prefix + std::to_string(number), sent, sent + 500ms),
                     start + sent + 500ms);
    }
}

std::vector<crash_report> all_reports(const crash_table& table, duration at)
{
    return crash_reports(table, time_point::min(), 1000, start + at);
}

} // namespace

TEST_CASE(
    "crash verdicts: a request is condemned once three targets have ended under it, one after the other")
{
    crash_table table;
    end_targets(table, key_of(1), 2);
    CHECK(standing_of(table, key_of(1), start + 2s) == crash_standing::suspected);
    end_targets(table, key_of(1), 3);
    CHECK(is_condemned(table, key_of(1), 3s));
    CHECK(standing_of(table, key_of(2), start + 3s) == crash_standing::unknown);
    CHECK(has_outline(table, 1));
    CHECK_FALSE(has_outline(table, 2));
}

TEST_CASE("crash verdicts: targets that end together say no more than one")
{
    crash_table table;
    for (const std::string target : {"a", "b", "c", "d"}) {
        on_run_ended(table, key_of(1), run_at(target, 0ms, 500ms), start + 500ms);
    }
    CHECK_FALSE(is_condemned(table, key_of(1), 1s));
    on_run_ended(table, key_of(1), run_at("e", 600ms, 700ms), start + 700ms);
    on_run_ended(table, key_of(1), run_at("f", 800ms, 900ms), start + 900ms);
    CHECK(is_condemned(table, key_of(1), 1s));
}

namespace {

// Copies of the request run at three targets, two of them in the same failure domain, and all end together.
void end_batch(crash_table& table, const suspect_key& key, duration sent, const std::string& prefix,
               const std::string& other_domain = "rvk-b")
{
    int number = 0;
    for (const std::string& domain : {std::string("rvk-a"), std::string("rvk-a"), other_domain}) {
        const duration ended = sent + 500ms + 50ms * number;
        ended_run run = run_at(prefix + std::to_string(++number), sent, ended);
        run.failure_domain = domain;
        on_run_ended(table, key, run, start + ended);
    }
}

} // namespace

TEST_CASE("crash verdicts: copies of a request that end all targets of one batch condemn it, after a delay")
{
    crash_table table;
    end_batch(table, key_of(1), 0s, "a");
    on_run_ended(table, key_of(2), run_at("a1", 0ms, 500ms), start + 500ms);
    const duration valid_from = 600ms + table.tuning.sole_batch_delay;
    CHECK_FALSE(is_condemned(table, key_of(1), valid_from - 1ms));
    CHECK(is_condemned(table, key_of(1), valid_from));
    CHECK_FALSE(is_condemned(table, key_of(2), valid_from));
    // The failure domains are known where the evidence arrives from elsewhere.
    crash_table other;
    on_crash_reports_received(other, all_reports(table, 1s), start + 1s);
    CHECK(is_condemned(other, key_of(1), valid_from));
    CHECK(is_condemned(table, key_of(1), 600ms + 119s));
    CHECK_FALSE(is_condemned(table, key_of(1), 600ms + 121s));
    // The next verdict is longer.
    on_run_ended(table, key_of(1), run_at("b", 130s, 131s), start + 131s);
    CHECK(is_condemned(table, key_of(1), 131s + 19min));
}

// Guards against copies of a fatal request that are sent again since all targets that they ended belong to
// one failure domain, as after a loss of its power.
TEST_CASE(
    "crash verdicts: copies that end targets of one failure domain condemn it if others there are alive")
{
    // A domain that loses its power may still have targets that listen when the first of them end.
    const bool is_known_at_once = GENERATE(true, false);
    crash_table table;
    for (int number = 0; number < 3; ++number) {
        ended_run run = run_at("t" + std::to_string(number), 0s, 500ms);
        run.failure_domain = "rvk-a";
        run.domain_alive = is_known_at_once || number != 2;
        on_run_ended(table, key_of(1), run, start + 500ms);
    }
    const duration valid_from = 500ms + table.tuning.sole_batch_delay;
    CHECK(is_condemned(table, key_of(1), valid_from) == is_known_at_once);
    // Another instance lost a request at the same end and found the domain alive.
    ended_run confirmed = run_at("t2", 0s, 510ms);
    confirmed.failure_domain = "rvk-a";
    confirmed.domain_alive = true;
    on_run_ended(table, key_of(1), confirmed, start + 510ms);
    CHECK(is_condemned(table, key_of(1), valid_from));
    crash_table other;
    on_crash_reports_received(other, all_reports(table, 1s), start + 1s);
    CHECK(is_condemned(other, key_of(1), valid_from));
}

TEST_CASE("crash verdicts: a batch condemns no request that is not its only cause")
{
    const duration later = 3s;
    crash_table one_domain;
    end_batch(one_domain, key_of(1), 0s, "a", "rvk-a");
    CHECK_FALSE(is_condemned(one_domain, key_of(1), later));
    crash_table answered;
    end_batch(answered, key_of(1), 0s, "a");
    on_suspect_answered(answered, key_of(1), start + 1s);
    CHECK_FALSE(is_condemned(answered, key_of(1), later));
    // Another target ended at that time, which is known later.
    crash_table foreign;
    end_batch(foreign, key_of(1), 0s, "a");
    on_run_ended(foreign, key_of(2), run_at("f", 0ms, 400ms), start + 1500ms);
    CHECK_FALSE(is_condemned(foreign, key_of(1), later));
    // Another request was running at all of the targets.
    crash_table rival;
    end_batch(rival, key_of(1), 0s, "a");
    end_batch(rival, key_of(2), 0s, "a");
    CHECK_FALSE(is_condemned(rival, key_of(1), later));
    CHECK_FALSE(is_condemned(rival, key_of(2), later));
    on_suspect_answered(rival, key_of(2), start + 1s);
    CHECK(is_condemned(rival, key_of(1), later));
}

TEST_CASE("crash verdicts: a request at one of several targets that end together, again and again, is not "
          "the cause")
{
    crash_table table;
    for (int round = 0; round < 4; ++round) {
        const auto sent = std::chrono::seconds(round);
        for (std::uint64_t request = 1; request <= 4; ++request) {
            const std::string target = "t" + std::to_string(round) + "-" + std::to_string(request);
            // Request 1 comes again each time, the others are new ones.
            const std::uint64_t number = request == 1 ? 1 : static_cast<std::uint64_t>(round) * 10 + request;
            const auto ended = sent + 500ms + std::chrono::milliseconds(request * 10);
            on_run_ended(table, key_of(number), run_at(target, sent, ended), start + ended);
        }
    }
    CHECK_FALSE(is_condemned(table, key_of(1), 4s));
    // It is if targets end under it alone.
    for (int round = 5; round < 8; ++round) {
        const auto sent = std::chrono::seconds(round);
        on_run_ended(table, key_of(1), run_at("a" + std::to_string(round), sent, sent + 500ms),
                     start + sent + 500ms);
    }
    CHECK(is_condemned(table, key_of(1), 8s));
}

TEST_CASE("crash verdicts: while targets also end without it and none answers, a request is not the cause")
{
    // Request 1 is at three targets of each batch, others are at the fourth.
    const auto end_batches = [](crash_table& table, duration answered_before) {
        for (int round = 0; round < 4; ++round) {
            const duration sent = std::chrono::seconds(round);
            for (std::uint64_t place = 1; place <= 4; ++place) {
                const std::string target = "t" + std::to_string(round) + "-" + std::to_string(place);
                ended_run run = run_at(target, sent, sent + 500ms);
                run.version_answered_at =
                    start + (answered_before > 0s ? sent + 500ms - answered_before : 0s);
                const std::uint64_t request = place < 4 ? 1 : 10 + static_cast<std::uint64_t>(round);
                on_run_ended(table, key_of(request), run, run.ended_at);
            }
        }
    };
    crash_table outage;
    end_batches(outage, 0s);
    CHECK_FALSE(is_condemned(outage, key_of(1), 4s));
    crash_table copy;
    on_crash_reports_received(copy, all_reports(outage, 4s), start + 4s);
    CHECK_FALSE(is_condemned(copy, key_of(1), 4s));
    // The others are answered between the batches.
    crash_table working;
    end_batches(working, 100ms);
    CHECK(is_condemned(working, key_of(1), 4s));
    // Nothing else runs, so that only its own ends are seen.
    crash_table alone;
    for (int round = 0; round < 3; ++round) {
        const duration sent = std::chrono::seconds(round);
        ended_run run = run_at("t" + std::to_string(round), sent, sent + 500ms);
        run.version_answered_at = start;
        on_run_ended(alone, key_of(1), run, run.ended_at);
    }
    CHECK(is_condemned(alone, key_of(1), 3s));
}

TEST_CASE("crash verdicts: copies of a request that end many targets together do not hide it")
{
    crash_table table;
    for (int round = 0; round < 3; ++round) {
        const auto sent = std::chrono::seconds(round);
        for (std::uint64_t copy = 0; copy < 5; ++copy) {
            const ended_run run = run_at("t" + std::to_string(round) + "-" + std::to_string(copy), sent,
                                         sent + 500ms + std::chrono::milliseconds(copy * 20));
            on_run_ended(table, key_of(1), run, run.ended_at);
            const std::uint64_t beside = 100 + static_cast<std::uint64_t>(round) * 10 + copy;
            on_run_ended(table, key_of(beside), run, run.ended_at);
        }
    }
    CHECK(is_condemned(table, key_of(1), 4s));
    // A second cause at the same times does not hide the first one either.
    crash_table two_causes;
    for (int round = 0; round < 3; ++round) {
        const auto sent = std::chrono::seconds(round);
        for (std::uint64_t request = 1; request <= 2; ++request) {
            for (int copy = 0; copy < 2; ++copy) {
                const std::string target =
                    std::to_string(request) + "-" + std::to_string(round) + "-" + std::to_string(copy);
                const ended_run run = run_at(target, sent, sent + 500ms);
                on_run_ended(two_causes, key_of(request), run, run.ended_at);
            }
        }
    }
    CHECK(is_condemned(two_causes, key_of(1), 4s));
    CHECK(is_condemned(two_causes, key_of(2), 4s));
}

TEST_CASE("crash verdicts: ends after more of them than are stored still condemn, and merge in any order")
{
    crash_table first;
    crash_table second;
    std::vector<ended_run> runs;
    for (std::size_t copy = 0; copy < 2 * first.tuning.max_runs; ++copy) {
        runs.push_back(run_at("c" + std::to_string(copy), 0s, 500ms + std::chrono::milliseconds(copy)));
    }
    runs.push_back(run_at("d", 2s, 3s));
    runs.push_back(run_at("e", 4s, 5s));
    for (const ended_run& run : runs) {
        on_run_ended(first, key_of(1), run, run.ended_at);
    }
    std::ranges::reverse(runs);
    for (const ended_run& run : runs) {
        on_run_ended(second, key_of(1), run, start + 6s);
    }
    for (const crash_table* table : {&first, &second}) {
        CHECK(table->suspects.at(key_of(1)).runs.size() == table->tuning.max_runs);
        CHECK(is_condemned(*table, key_of(1), 6s));
    }
    CHECK_FALSE(on_crash_reports_received(first, all_reports(second, 6s), start + 6s));
    CHECK_FALSE(on_crash_reports_received(second, all_reports(first, 6s), start + 6s));
}

TEST_CASE("crash verdicts: an incarnation of a target counts once, however often its end is reported")
{
    crash_table table;
    for (int copy = 0; copy < 5; ++copy) {
        end_targets(table, key_of(1), 2);
        on_crash_reports_received(table, all_reports(table, 2s), start + 2s + copy * 1s);
    }
    CHECK(table.suspects.at(key_of(1)).runs.size() == 2);
    CHECK_FALSE(is_condemned(table, key_of(1), 3s));
    // Another incarnation of the same target is another target.
    on_run_ended(table, key_of(1), {"t0", 2, start + 5s, start + 6s}, start + 6s);
    CHECK(is_condemned(table, key_of(1), 6s));
}

TEST_CASE("crash verdicts: evidence of several instances adds up, in any order")
{
    crash_table first;
    crash_table second;
    on_run_ended(first, key_of(1), run_at("a", 0s, 1s), start + 1s);
    on_run_ended(first, key_of(1), run_at("c", 4s, 5s), start + 5s);
    on_run_ended(second, key_of(1), run_at("b", 2s, 3s), start + 3s);
    CHECK_FALSE(is_condemned(first, key_of(1), 5s));
    const auto reports_of_first = all_reports(first, 5s);
    CHECK(on_crash_reports_received(first, all_reports(second, 5s), start + 5s));
    CHECK(on_crash_reports_received(second, reports_of_first, start + 5s));
    CHECK(is_condemned(first, key_of(1), 5s));
    CHECK(is_condemned(second, key_of(1), 5s));
    CHECK_FALSE(on_crash_reports_received(first, all_reports(second, 6s), start + 6s));
}

TEST_CASE("crash verdicts: a good answer says more than any number of ends")
{
    crash_table table;
    end_targets(table, key_of(1), 2);
    CHECK(on_suspect_answered(table, key_of(1), start + 2s));
    end_targets(table, key_of(1), 5);
    CHECK_FALSE(is_condemned(table, key_of(1), 6s));
    // The answer is known where the evidence arrives from elsewhere.
    crash_table other;
    end_targets(other, key_of(1), 5, "u");
    CHECK(is_condemned(other, key_of(1), 6s));
    on_crash_reports_received(other, all_reports(table, 6s), start + 6s);
    CHECK_FALSE(is_condemned(other, key_of(1), 6s));
}

TEST_CASE("crash verdicts: what ran beside a condemned request is not suspected for that")
{
    crash_table table;
    // The popular request 2 is at every end, and is answered only later; request 1 is at one more.
    for (int number = 0; number < 3; ++number) {
        const auto sent = std::chrono::seconds(number);
        const ended_run run = run_at("t" + std::to_string(number), sent, sent + 500ms);
        on_run_ended(table, key_of(1), run, run.ended_at);
        on_run_ended(table, key_of(2), run, run.ended_at);
    }
    // Either may be the cause.
    CHECK_FALSE(is_condemned(table, key_of(1), 3s));
    CHECK_FALSE(is_condemned(table, key_of(2), 3s));
    on_run_ended(table, key_of(1), run_at("t3", 3s, 4s), start + 4s);
    CHECK(is_condemned(table, key_of(1), 4s));
    CHECK_FALSE(is_condemned(table, key_of(2), 4s));
}

TEST_CASE("crash verdicts: a request that was answered is no rival of the cause")
{
    crash_table table;
    end_targets(table, key_of(1), 3);
    end_targets(table, key_of(2), 3);
    CHECK_FALSE(is_condemned(table, key_of(1), 3s));
    on_suspect_answered(table, key_of(2), start + 3s);
    CHECK(is_condemned(table, key_of(1), 3s));
}

TEST_CASE("crash verdicts: a verdict is for one version; one more end condemns at another")
{
    crash_table table;
    end_targets(table, key_of(1), 3);
    CHECK(is_condemned(table, key_of(1), 3s));
    CHECK_FALSE(is_condemned(table, key_of(1, "v2"), 3s));
    CHECK(is_suspected(table, key_of(1).request, "desk"));
    on_run_ended(table, key_of(1, "v2"), run_at("new", 4s, 5s), start + 5s);
    CHECK(is_condemned(table, key_of(1, "v2"), 5s));
}

TEST_CASE("crash verdicts: a verdict lapses, and each further end makes it longer")
{
    crash_table table;
    end_targets(table, key_of(1), 3);
    CHECK(is_condemned(table, key_of(1), 2500ms + 119s));
    CHECK_FALSE(is_condemned(table, key_of(1), 2500ms + 120s));
    on_run_ended(table, key_of(1), run_at("again", 130s, 131s), start + 131s);
    CHECK(is_condemned(table, key_of(1), 131s + 19min));
    CHECK_FALSE(is_condemned(table, key_of(1), 131s + 20min));
    // A request that comes again all day reaches at most three targets after the first three.
    duration now = 131s;
    int further = 1;
    while (now < 24h) {
        now += 1s;
        if (!is_condemned(table, key_of(1), now)) {
            ++further;
            on_run_ended(table, key_of(1), run_at("r" + std::to_string(further), now, now + 1s),
                         start + now + 1s);
        }
        on_condemned_refused(table, key_of(1).request, "desk", start + now);
        forget_old_suspects(table, start + now);
    }
    CHECK(further <= 3);
}

TEST_CASE("crash verdicts: copies of a request that come at all instances all day reach few targets")
{
    constexpr std::size_t instance_count = 8;
    std::vector<crash_table> tables(instance_count);
    for (std::size_t instance = 0; instance < instance_count; ++instance) {
        tables.at(instance).verdict_extension = static_cast<double>(instance) / instance_count;
        end_targets(tables.at(instance), key_of(1), 3);
    }
    std::size_t further = 0;
    // A copy a second at each instance; what ends is known to all after two seconds.
    std::vector<std::pair<time_point, ended_run>> news;
    for (duration now = 5s; now < 24h; now += 1s) {
        for (const auto& [known_at, run] : news) {
            for (crash_table& table : tables) {
                if (known_at <= start + now) {
                    on_run_ended(table, key_of(1), run, start + now);
                }
            }
        }
        std::erase_if(news, [&](const auto& item) { return item.first <= start + now; });
        for (crash_table& table : tables) {
            on_condemned_refused(table, key_of(1).request, "desk", start + now);
            if (!is_condemned(table, key_of(1), now)) {
                const ended_run run = run_at("r" + std::to_string(++further), now, now + 100ms);
                on_run_ended(table, key_of(1), run, start + now + 100ms);
                news.emplace_back(start + now + 2s, run);
            }
        }
    }
    CHECK(further <= 3);
}

TEST_CASE("crash verdicts: suspects are forgotten, also when instances keep telling each other of them")
{
    crash_table first;
    crash_table second;
    end_targets(first, key_of(1), 2);
    duration now = 2s;
    for (; now < 15min; now += 2s) {
        on_crash_reports_received(second, all_reports(first, now), start + now + 100ms);
        on_crash_reports_received(first, all_reports(second, now), start + now + 100ms);
        forget_old_suspects(first, start + now);
        forget_old_suspects(second, start + now);
    }
    CHECK(first.suspects.empty());
    CHECK(second.suspects.empty());
    CHECK(first.outlines.empty());
}

TEST_CASE("crash verdicts: ten thousand requests that each end a target are kept in bounded memory")
{
    crash_table table;
    end_targets(table, key_of(1), 3);
    for (std::uint64_t request = 2; request < 10'000; ++request) {
        const auto sent = std::chrono::milliseconds(3000 + request);
        on_run_ended(table, key_of(request), run_at("x" + std::to_string(request), sent, sent + 1ms),
                     start + sent + 1ms);
    }
    CHECK(table.suspects.size() <= table.tuning.max_suspects);
    CHECK(table.outlines.size() <= table.tuning.max_suspects);
    CHECK(is_condemned(table, key_of(1), 14s));
    // The request with the most ends is among the reports, however few these are.
    const auto reports = crash_reports(table, time_point::min(), 8, start + 14s);
    REQUIRE(reports.size() == 8);
    CHECK(reports.front().key == key_of(1));
}

TEST_CASE("crash verdicts: nothing is reported while nothing changes")
{
    crash_table table;
    CHECK(crash_reports(table, time_point::min(), 10, start).empty());
    end_targets(table, key_of(1), 3);
    CHECK(crash_reports(table, start + 2s, 10, start + 3s).size() == 1);
    CHECK(crash_reports(table, start + 3s, 10, start + 5s).empty());
}

// Guards against a fatal request that is never refused because its service gets nothing else.
TEST_CASE("crash verdicts: the only request of a version that has never answered is condemned")
{
    crash_table table;
    for (int number = 0; number < 3; ++number) {
        const auto sent = std::chrono::seconds(number);
        on_run_ended(table, key_of(1), unanswered_run_at("t" + std::to_string(number), sent, sent + 500ms),
                     start + sent + 500ms);
    }
    CHECK(is_condemned(table, key_of(1), 3s));
}

TEST_CASE("crash verdicts: a version that ends under all requests and answers none condemns none of them")
{
    crash_table table;
    for (int number = 0; number < 12; ++number) {
        const auto sent = std::chrono::seconds(number);
        on_run_ended(table, key_of(static_cast<std::uint64_t>(number) % 3),
                     unanswered_run_at("t" + std::to_string(number), sent, sent + 500ms),
                     start + sent + 500ms);
    }
    for (const std::uint64_t request : {0U, 1U, 2U}) {
        CHECK_FALSE(is_condemned(table, key_of(request), 13s));
    }
}

// Guards against evidence that is lost at an instance which gets no other request of the service.
TEST_CASE("crash verdicts: an answer that another instance has seen shows that the version works")
{
    for (const bool is_answer_known : {false, true}) {
        crash_table table;
        for (int number = 0; number < 3; ++number) {
            const auto sent = std::chrono::seconds(2 * number);
            const std::string target = "t" + std::to_string(number);
            on_run_ended(table, key_of(1), unanswered_run_at(target, sent, sent + 500ms),
                         start + sent + 500ms);
            // Another instance loses a request at the same target, and one at another target in between.
            const auto beside = 10 + 2 * static_cast<std::uint64_t>(number);
            const auto reported = is_answer_known ? run_at : unanswered_run_at;
            on_run_ended(table, key_of(beside), reported(target, sent, sent + 500ms), start + sent + 500ms);
            on_run_ended(table, key_of(beside + 1),
                         reported("u" + std::to_string(number), sent + 800ms, sent + 1200ms),
                         start + sent + 1200ms);
        }
        CHECK(is_condemned(table, key_of(1), 6s) == is_answer_known);
    }
}
