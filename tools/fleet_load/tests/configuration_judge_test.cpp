#include <catch2/catch.hpp>

#include "../configuration_judge.hpp"

using namespace fleet_load;
using namespace std::chrono_literals;

namespace {

const clock::time_point start{1h};

clock::time_point at(double seconds)
{
    return start + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(seconds));
}

subject make_subject(std::vector<subject_change> changes)
{
    subject made;
    made.name = "/added/";
    made.changes = std::move(changes);
    return made;
}

observation observe(double sent_s, unsigned status)
{
    observation seen;
    seen.sent = at(sent_s);
    seen.ended = at(sent_s + 0.01);
    seen.status = status;
    seen.is_signed = status == 200;
    return seen;
}

std::vector<configuration_fault> faults_of(const subject& about, const std::vector<observation>& seen)
{
    std::vector<configuration_fault> faults;
    const std::vector<subject> subjects = {about};
    for (const configuration_finding& found : judge_observations(subjects, seen, {})) {
        faults.push_back(found.fault);
    }
    return faults;
}

const subject added = make_subject({{true, at(10), at(10.1)}});
const subject added_and_dropped = make_subject({{true, at(10), at(10.1)}, {false, at(20), at(20.1)}});

} // namespace

TEST_CASE("configuration judge: answers by a version that may be in force break nothing")
{
    CHECK(faults_of(added, {observe(9, 404), observe(14, 404), observe(14.2, 200)}).empty());
    CHECK(faults_of(added_and_dropped, {observe(12, 200), observe(24, 200), observe(24.2, 404)}).empty());
    CHECK(faults_of(added, {observe(15, 503), observe(15, 0)}).empty());
}

TEST_CASE("configuration judge: a route that is not served in time is found")
{
    CHECK(faults_of(added, {observe(14.2, 404)}) == std::vector{configuration_fault::late_added});
    observation disturbed = observe(14.2, 404);
    disturbed.is_disturbed = true;
    CHECK(faults_of(added, {disturbed}).empty());
}

TEST_CASE("configuration judge: a dropped route that is still served is found")
{
    CHECK(faults_of(added_and_dropped, {observe(24.2, 200)}) ==
          std::vector{configuration_fault::late_dropped});
}

TEST_CASE("configuration judge: a key is told from a route by the status of its refusal")
{
    subject key = added;
    key.kind = subject_kind::key;
    CHECK(faults_of(key, {observe(14.2, 401)}) == std::vector{configuration_fault::late_added});
    CHECK(faults_of(key, {observe(14.2, 404)}).empty());
}

TEST_CASE("configuration judge: an older version after a newer one of the same process is found")
{
    const std::vector<observation> seen = {observe(11, 200), observe(11.1, 404), observe(12, 404)};
    CHECK(faults_of(added, seen) == std::vector{configuration_fault::reverted});
    std::vector<observation> restarted = seen;
    restarted.back().life = 1;
    CHECK(faults_of(added, restarted).empty());
    CHECK(faults_of(added_and_dropped, {observe(12, 200), observe(20.5, 404), observe(21, 200)}) ==
          std::vector{configuration_fault::reverted});
}

TEST_CASE("configuration judge: a malformed version that is taken over is found")
{
    CHECK(faults_of(make_subject({}), {observe(1, 404), observe(2, 200)}) ==
          std::vector{configuration_fault::malformed_taken});
    subject lasting = added;
    lasting.is_lasting = true;
    CHECK(faults_of(lasting, {observe(1, 200), observe(2, 404)}) ==
          std::vector{configuration_fault::malformed_taken});
}

TEST_CASE("configuration judge: added routes that fail more often than lasting ones are found")
{
    subject lasting = added;
    lasting.is_lasting = true;
    const std::vector<subject> subjects = {lasting, added};
    std::vector<observation> seen;
    for (int number = 0; number < 40; ++number) {
        seen.push_back(observe(15 + number, 200));
        seen.push_back(observe(15 + number, 503));
        seen.back().subject = 1;
    }
    const auto findings = judge_observations(subjects, seen, {});
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().fault == configuration_fault::added_unserved);
}

TEST_CASE("configuration judge: the age of an answer counts from the acknowledgement of the newer version")
{
    const std::vector<subject> subjects = {added};
    const std::vector<observation> seen = {observe(10.6, 404), observe(9, 404), observe(11, 200)};
    const auto ages = ages_of_older_answers(subjects, seen);
    REQUIRE(ages.size() == 1);
    CHECK(ages.front() == Approx(0.5));
}
